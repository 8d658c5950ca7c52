"""Convert YAML nodes to the records of a configuration.

The conversion follows the type annotations of the records, with one visitor
for each kind of type, so that a new field needs no code here. An error is
reported as a finding and reading continues, so that one pass reports all
errors. A record with a finding is left out, but the positions and scalar
values of its fields are kept. Otherwise later checks would report
references to its name as dangling.
"""

import dataclasses
import functools
import typing
from typing import Final

import msgspec
import msgspec.inspect
import yaml

from sycamoredale.config import findings
from sycamoredale.config import model

Path = tuple[str | int, ...]
MISSING: Final = object()
_TAG: Final = "tag:yaml.org,2002:"
_RECORD_TYPE_BY_SECTION: Final = {
    "services": "service",
    "versions": "version",
    "adapters": "adapter",
    "organisations": "organisation",
    "zones": "availability zone",
    "routes": "route",
    "limits": "limits",
}


@dataclasses.dataclass
class Document:
    """Collect values, positions and findings by their path in the file."""

    reported_findings: list[findings.Finding] = dataclasses.field(
        default_factory=list
    )
    position_by_path: dict[Path, findings.Position] = dataclasses.field(
        default_factory=dict
    )
    value_by_path: dict[Path, typing.Any] = dataclasses.field(
        default_factory=dict
    )
    records_by_path: dict[Path, typing.Any] = dataclasses.field(
        default_factory=dict
    )

    def report(self, problem: findings.Problem, node: yaml.Node) -> None:
        """Add a finding at the start of a node."""
        self.reported_findings.append(problem.at(_start_position(node)))

    def position_of(self, *path: str | int) -> findings.Position:
        """Return the position of a path or of its nearest known parent."""
        while path and path not in self.position_by_path:
            path = path[:-1]
        return self.position_by_path.get(path, findings.Position(1, 1))


def read(text: bytes) -> tuple[model.Configuration | None, Document]:
    """Return the configuration and the document.

    The configuration is None if the file has findings.
    """
    document = Document()
    node = _compose(text, document)
    if node is None:
        return None, document
    node_type = msgspec.inspect.type_info(model.Configuration)
    value = _visit(node_type, node, document, ())
    return (None if value is MISSING else value), document


def record_label(path: Path, document: Document) -> str:
    """Return the kind and the name of a record for a message."""
    if not path:
        return "the file"
    section = str(path[-2] if isinstance(path[-1], int) else path[-1])
    record_type = _RECORD_TYPE_BY_SECTION.get(section, section)
    label = "path" if section == "routes" else "name"
    name = document.value_by_path.get((*path, label))
    return record_type if name is None else f"{record_type} {name!r}"


def _compose(text: bytes, document: Document) -> yaml.Node | None:
    try:
        node: yaml.Node | None = yaml.compose(
            text.decode(), Loader=yaml.SafeLoader
        )
    except UnicodeDecodeError as error:
        problem = findings.not_yaml(f"byte {error.start} is not UTF-8")
        document.reported_findings.append(problem.at(findings.Position(1, 1)))
        return None
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        message = getattr(error, "problem", None) or str(error)
        position = findings.Position(1, 1)
        if mark is not None:
            position = findings.Position(mark.line + 1, mark.column + 1)
        document.reported_findings.append(
            findings.not_yaml(message).at(position)
        )
        return None
    if node is None or node.tag == f"{_TAG}null":
        problem = findings.empty_file()
        document.reported_findings.append(problem.at(findings.Position(1, 1)))
        return None
    return node


@functools.singledispatch
def _visit(
    node_type: msgspec.inspect.Type,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    """Return the value of a node, MISSING after a finding."""
    raise TypeError(f"type {node_type!r} at {path!r} has no visitor")


@_visit.register
def _visit_struct(
    node_type: msgspec.inspect.StructType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    if not isinstance(node, yaml.MappingNode):
        return _report_wrong_type(node, document, path, "a mapping")
    document.position_by_path[path] = _start_position(node)
    field_by_key = {field.encode_name: field for field in node_type.fields}
    _record_scalars(node, document, path)
    values: dict[str, typing.Any] = {}
    seen_keys: set[str] = set()
    is_invalid = False
    for key_node, value_node in node.value:
        key = str(key_node.value)
        record = record_label(path, document)
        if key in seen_keys:
            document.report(findings.duplicate_key(key, record), key_node)
            is_invalid = True
        elif key not in field_by_key:
            problem = findings.unknown_key(key, record, field_by_key)
            document.report(problem, key_node)
            is_invalid = True
        else:
            value = _visit(
                field_by_key[key].type, value_node, document, (*path, key)
            )
            is_invalid = is_invalid or value is MISSING
            values[key] = value
        seen_keys.add(key)
    for name, field in field_by_key.items():
        if field.required and name not in seen_keys:
            record = record_label(path, document)
            document.report(findings.missing_key(name, record), node)
            is_invalid = True
    if is_invalid:
        return MISSING
    parsed = node_type.cls(**values)
    document.records_by_path[path] = parsed
    return parsed


@_visit.register
def _visit_list(
    node_type: msgspec.inspect.ListType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    if not isinstance(node, yaml.SequenceNode):
        return _report_wrong_type(node, document, path, "a list")
    document.position_by_path[path] = _start_position(node)
    items = [
        _visit(node_type.item_type, item, document, (*path, index))
        for index, item in enumerate(node.value)
    ]
    return MISSING if any(item is MISSING for item in items) else items


@_visit.register
def _visit_tuple(
    node_type: msgspec.inspect.VarTupleType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    list_type = msgspec.inspect.ListType(node_type.item_type)
    items = _visit(list_type, node, document, path)
    return MISSING if items is MISSING else tuple(items)


@_visit.register
def _visit_enum(
    node_type: msgspec.inspect.EnumType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    value = _read_scalar(node, document, path, "str", "text")
    if value is MISSING:
        return MISSING
    allowed = [str(member.value) for member in node_type.cls]
    if value not in allowed:
        problem = findings.bad_value(
            _describe_path(path, document),
            value,
            f"one of {', '.join(allowed)}",
        )
        document.report(problem, node)
        return MISSING
    return node_type.cls(value)


@_visit.register
def _visit_string(
    node_type: msgspec.inspect.StrType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    del node_type
    return _read_scalar(node, document, path, "str", "text")


@_visit.register
def _visit_integer(
    node_type: msgspec.inspect.IntType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    del node_type
    return _read_scalar(node, document, path, "int", "a whole number")


@_visit.register
def _visit_float(
    node_type: msgspec.inspect.FloatType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    del node_type
    tag = "int" if node.tag == f"{_TAG}int" else "float"
    value = _read_scalar(node, document, path, tag, "a number")
    return value if value is MISSING else float(value)


@_visit.register
def _visit_boolean(
    node_type: msgspec.inspect.BoolType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    del node_type
    return _read_scalar(node, document, path, "bool", "true or false")


def _read_scalar(
    node: yaml.Node,
    document: Document,
    path: Path,
    tag: str,
    expected: str,
) -> typing.Any:
    document.position_by_path[path] = _start_position(node)
    if not isinstance(node, yaml.ScalarNode) or node.tag != _TAG + tag:
        return _report_wrong_type(node, document, path, expected)
    return _construct(node)


def _construct(node: yaml.ScalarNode) -> typing.Any:
    constructor = yaml.constructor.SafeConstructor()
    return constructor.construct_object(node)


def _report_wrong_type(
    node: yaml.Node, document: Document, path: Path, expected: str
) -> typing.Any:
    subject = _describe_path(path, document)
    problem = findings.wrong_type(
        subject, expected, _describe_node(node, expected)
    )
    document.report(problem, node)
    return MISSING


def _describe_node(node: yaml.Node, expected: str) -> str:
    if isinstance(node, yaml.MappingNode):
        return "a mapping"
    if isinstance(node, yaml.SequenceNode):
        return "a list"
    tag_name = node.tag.removeprefix(_TAG)
    if tag_name == "null":
        return "nothing"
    if expected == "text":
        return f"{tag_name} {node.value}; put it in quotes"
    return f"{tag_name} {node.value!r}"


def _describe_path(path: Path, document: Document) -> str:
    if not path:
        return "the file"
    *parent, last_step = path
    record = record_label(tuple(parent), document)
    if isinstance(last_step, int):
        return f"entry {last_step + 1} of {record}"
    return f"{last_step!r} of {record}"


def _record_scalars(
    node: yaml.MappingNode, document: Document, path: Path
) -> None:
    for key_node, value_node in node.value:
        if isinstance(value_node, yaml.ScalarNode):
            child_path = (*path, str(key_node.value))
            document.value_by_path.setdefault(child_path, value_node.value)


def _start_position(node: yaml.Node) -> findings.Position:
    mark = node.start_mark
    return findings.Position(mark.line + 1, mark.column + 1)
