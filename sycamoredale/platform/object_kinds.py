"""Name the kinds of objects in the platform's store that daemons watch."""

from typing import Final

# The platform names the instances "servers" and the manifest "config".
INSTANCE_KIND: Final = "servers"
MANIFEST_KIND: Final = "config"
MANIFEST_NAME: Final = "main"
# Each object of this kind takes the zone of that name out of service.
EVACUATION_KIND: Final = "evacuations"
