"""Define the types of identifiers that cross module boundaries.

Each identifier has a distinct type, so that a type checker rejects, for
example, the id of an instance where that of an endpoint is expected.
"""

import typing

AdapterName = typing.NewType("AdapterName", str)
DaemonId = typing.NewType("DaemonId", str)
DomainName = typing.NewType("DomainName", str)
EndpointId = typing.NewType("EndpointId", str)
IncarnationKey = typing.NewType("IncarnationKey", str)
Epoch = typing.NewType("Epoch", int)
Fingerprint = typing.NewType("Fingerprint", str)
Generation = typing.NewType("Generation", int)
GroupId = typing.NewType("GroupId", str)
IdempotencyKey = typing.NewType("IdempotencyKey", str)
Incarnation = typing.NewType("Incarnation", int)
InstanceId = typing.NewType("InstanceId", str)
ObjectVersion = typing.NewType("ObjectVersion", int)
StoreEra = typing.NewType("StoreEra", int)
OrganisationName = typing.NewType("OrganisationName", str)
PromptPartId = typing.NewType("PromptPartId", str)
PromptPartKey = typing.NewType("PromptPartKey", str)
RequestId = typing.NewType("RequestId", str)
ServiceName = typing.NewType("ServiceName", str)
VersionName = typing.NewType("VersionName", str)
WriteId = typing.NewType("WriteId", str)
ZoneName = typing.NewType("ZoneName", str)
