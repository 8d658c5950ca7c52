"""Read YAML nodes into the records of a configuration.

The records describe themselves: a visitor for each kind of type walks the
nodes beside the types, so a new field needs no code here.  What is wrong
becomes a finding and the reading goes on, so that one pass reports all.
A record with a finding is left out; the places and the plain values of its
fields are kept, so that checks that follow do not report its name missing.
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
_OWNER_BY_SECTION: Final = {
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
    """Hold what was read and where in the file it stands."""

    found: list[findings.Finding] = dataclasses.field(default_factory=list)
    place_by_path: dict[Path, findings.Place] = dataclasses.field(
        default_factory=dict
    )
    value_by_path: dict[Path, typing.Any] = dataclasses.field(
        default_factory=dict
    )
    records_by_path: dict[Path, typing.Any] = dataclasses.field(
        default_factory=dict
    )

    def report(self, wording: findings.Wording, node: yaml.Node) -> None:
        """Add a finding at a node."""
        self.found.append(wording.at(_place(node)))

    def place(self, *path: str | int) -> findings.Place:
        """Return the place of a path, or of the nearest that holds it."""
        while path and path not in self.place_by_path:
            path = path[:-1]
        return self.place_by_path.get(path, findings.Place(1, 1))


def read(text: bytes) -> tuple[model.Configuration | None, Document]:
    """Return the configuration, unless broken, and the document."""
    document = Document()
    node = _compose(text, document)
    if node is None:
        return None, document
    kind = msgspec.inspect.type_info(model.Configuration)
    value = _visit(kind, node, document, ())
    return (None if value is MISSING else value), document


def owner_name(path: Path, document: Document) -> str:
    """Return how to call the record at a path in a message."""
    if not path:
        return "the file"
    section = str(path[-2] if isinstance(path[-1], int) else path[-1])
    word = _OWNER_BY_SECTION.get(section, section)
    label = "path" if section == "routes" else "name"
    name = document.value_by_path.get((*path, label))
    return word if name is None else f"{word} {name!r}"


def _compose(text: bytes, document: Document) -> yaml.Node | None:
    try:
        node: yaml.Node | None = yaml.compose(
            text.decode(), Loader=yaml.SafeLoader
        )
    except UnicodeDecodeError as error:
        wording = findings.not_yaml(f"byte {error.start} is not UTF-8")
        document.found.append(wording.at(findings.Place(1, 1)))
        return None
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        problem = getattr(error, "problem", None) or str(error)
        place = findings.Place(1, 1)
        if mark is not None:
            place = findings.Place(mark.line + 1, mark.column + 1)
        document.found.append(findings.not_yaml(problem).at(place))
        return None
    if node is None or node.tag == f"{_TAG}null":
        wording = findings.empty_file()
        document.found.append(wording.at(findings.Place(1, 1)))
        return None
    return node


@functools.singledispatch
def _visit(
    kind: msgspec.inspect.Type,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    """Return the value of a node as a type, MISSING after a finding."""
    raise TypeError(f"type {kind!r} at {path!r} has no visitor")


@_visit.register
def _visit_struct(
    kind: msgspec.inspect.StructType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    if not isinstance(node, yaml.MappingNode):
        return _refuse_type(node, document, path, "a mapping")
    document.place_by_path[path] = _place(node)
    by_name = {field.encode_name: field for field in kind.fields}
    _note_plain_values(node, document, path)
    values: dict[str, typing.Any] = {}
    seen: set[str] = set()
    broken = False
    for key_node, value_node in node.value:
        key = str(key_node.value)
        owner = owner_name(path, document)
        if key in seen:
            document.report(findings.duplicate_key(key, owner), key_node)
            broken = True
        elif key not in by_name:
            wording = findings.unknown_key(key, owner, by_name)
            document.report(wording, key_node)
            broken = True
        else:
            value = _visit(
                by_name[key].type, value_node, document, (*path, key)
            )
            broken = broken or value is MISSING
            values[key] = value
        seen.add(key)
    for name, field in by_name.items():
        if field.required and name not in seen:
            owner = owner_name(path, document)
            document.report(findings.missing_key(name, owner), node)
            broken = True
    if broken:
        return MISSING
    record = kind.cls(**values)
    document.records_by_path[path] = record
    return record


@_visit.register
def _visit_list(
    kind: msgspec.inspect.ListType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    if not isinstance(node, yaml.SequenceNode):
        return _refuse_type(node, document, path, "a list")
    document.place_by_path[path] = _place(node)
    items = [
        _visit(kind.item_type, item, document, (*path, index))
        for index, item in enumerate(node.value)
    ]
    return MISSING if any(item is MISSING for item in items) else items


@_visit.register
def _visit_tuple(
    kind: msgspec.inspect.VarTupleType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    as_list = msgspec.inspect.ListType(kind.item_type)
    items = _visit(as_list, node, document, path)
    return MISSING if items is MISSING else tuple(items)


@_visit.register
def _visit_enum(
    kind: msgspec.inspect.EnumType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    value = _scalar(node, document, path, "str", "text")
    if value is MISSING:
        return MISSING
    allowed = [str(member.value) for member in kind.cls]
    if value not in allowed:
        wording = findings.bad_value(
            _what(path, document), value, f"one of {', '.join(allowed)}"
        )
        document.report(wording, node)
        return MISSING
    return kind.cls(value)


@_visit.register
def _visit_text(
    kind: msgspec.inspect.StrType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    del kind
    return _scalar(node, document, path, "str", "text")


@_visit.register
def _visit_integer(
    kind: msgspec.inspect.IntType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    del kind
    return _scalar(node, document, path, "int", "a whole number")


@_visit.register
def _visit_number(
    kind: msgspec.inspect.FloatType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    del kind
    wanted = "int" if node.tag == f"{_TAG}int" else "float"
    value = _scalar(node, document, path, wanted, "a number")
    return value if value is MISSING else float(value)


@_visit.register
def _visit_flag(
    kind: msgspec.inspect.BoolType,
    node: yaml.Node,
    document: Document,
    path: Path,
) -> typing.Any:
    del kind
    return _scalar(node, document, path, "bool", "true or false")


def _scalar(
    node: yaml.Node,
    document: Document,
    path: Path,
    wanted: str,
    expected: str,
) -> typing.Any:
    document.place_by_path[path] = _place(node)
    if not isinstance(node, yaml.ScalarNode) or node.tag != _TAG + wanted:
        return _refuse_type(node, document, path, expected)
    return _construct(node)


def _construct(node: yaml.ScalarNode) -> typing.Any:
    constructor = yaml.constructor.SafeConstructor()
    return constructor.construct_object(node)


def _refuse_type(
    node: yaml.Node, document: Document, path: Path, expected: str
) -> typing.Any:
    what = _what(path, document)
    wording = findings.wrong_type(what, expected, _describe(node, expected))
    document.report(wording, node)
    return MISSING


def _describe(node: yaml.Node, expected: str) -> str:
    if isinstance(node, yaml.MappingNode):
        return "a mapping"
    if isinstance(node, yaml.SequenceNode):
        return "a list"
    kind = node.tag.removeprefix(_TAG)
    if kind == "null":
        return "nothing"
    if expected == "text":
        return f"{kind} {node.value}; put it in quotes"
    return f"{kind} {node.value!r}"


def _what(path: Path, document: Document) -> str:
    if not path:
        return "the file"
    *above, last = path
    owner = owner_name(tuple(above), document)
    if isinstance(last, int):
        return f"entry {last + 1} of {owner}"
    return f"{last!r} of {owner}"


def _note_plain_values(
    node: yaml.MappingNode, document: Document, path: Path
) -> None:
    for key_node, value_node in node.value:
        if isinstance(value_node, yaml.ScalarNode):
            below = (*path, str(key_node.value))
            document.value_by_path.setdefault(below, value_node.value)


def _place(node: yaml.Node) -> findings.Place:
    mark = node.start_mark
    return findings.Place(mark.line + 1, mark.column + 1)
