"""Builds generated classes from YAML nodes, checking each value."""

import functools
import re

import thrift.protocol.TProtocol
import thrift.Thrift
import yaml

from citrondoor import errors
from citrondoor.documents import _nodes
from citrondoor.schema import declarations
from citrondoor.schema.generated.declarations import (
    constants as declaration_constants,
)
from citrondoor.schema.generated.serving import constants as serving_constants
from citrondoor.schema.generated.settings import constants as setting_constants

# Positions in a field of a generated `thrift_spec`.
FIELD_TYPE = 1
FIELD_NAME = 2
FIELD_ARGUMENT = 3

_RANGES = {
    **declaration_constants.RANGES,
    **setting_constants.RANGES,
    **serving_constants.RANGES,
}
_TTYPE = thrift.Thrift.TType
_YAML_TYPES = {
    _TTYPE.BOOL: "bool",
    _TTYPE.I32: "int",
    _TTYPE.I64: "int",
    _TTYPE.DOUBLE: "number",
    _TTYPE.STRING: "str",
}
_SCALAR_TAGS = {
    "bool": ("tag:yaml.org,2002:bool",),
    "int": ("tag:yaml.org,2002:int",),
    "number": ("tag:yaml.org,2002:int", "tag:yaml.org,2002:float"),
    "str": ("tag:yaml.org,2002:str",),
}
_constructor = yaml.SafeLoader("")


@functools.cache
def _fields_of(kind: type) -> dict[str, tuple]:
    return {field[FIELD_NAME]: field for field in kind.thrift_spec if field}


class Builder:
    """Builds one document.

    Args:
      path: File or key that errors name.
    """

    __slots__ = ("_path",)

    def __init__(self, path: str):
        self._path = path

    def build(self, kind: type, node: yaml.Node):
        """Returns an instance of the generated class `kind`."""
        if not isinstance(node, yaml.MappingNode):
            raise self._fault(
                node, f"{kind.__name__} is no mapping", "write `key: value`"
            )
        values = {}
        for key_node, value_node in node.value:
            key = key_node.value
            field = self._field(kind, key_node)
            if key in values:
                raise self._fault(
                    key_node, f"the key {key!r} stands twice", "keep one"
                )
            label = f"{kind.__name__}.{key}"
            values[key] = self._value(
                field[FIELD_TYPE], field[FIELD_ARGUMENT], value_node, label
            )
        built = kind(**values)
        self._check_complete(built, node)
        return built

    def _field(self, kind: type, key_node: yaml.Node) -> tuple:
        fields = _fields_of(kind)
        try:
            return fields[key_node.value]
        except (KeyError, TypeError):
            known = ", ".join(sorted(fields))
            raise self._fault(
                key_node,
                f"unknown key {key_node.value!r} in {kind.__name__}",
                f"use one of: {known}",
            ) from None

    def _value(self, ttype: int, argument, node: yaml.Node, label: str):
        if ttype == _TTYPE.STRUCT:
            return self.build(argument[0], node)
        if ttype == _TTYPE.LIST:
            return self._list(argument, node, label)
        enum_name = declaration_constants.ENUMS.get(label)
        if enum_name is not None:
            return self._enum(getattr(declarations, enum_name), node, label)
        return self._scalar(_YAML_TYPES[ttype], node, label)

    def _list(self, argument, node: yaml.Node, label: str) -> list:
        if not isinstance(node, yaml.SequenceNode):
            raise self._fault(node, f"{label} is no list", "write a list")
        item_type, item_argument = argument[0], argument[1]
        return [
            self._value(item_type, item_argument, item, label)
            for item in node.value
        ]

    def _enum(self, kind, node: yaml.Node, label: str):
        names = [member.name.lower() for member in kind]
        if node.value not in names:
            raise self._fault(
                node,
                f"{label} is {node.value!r}",
                f"use one of: {', '.join(names)}",
            )
        return kind[node.value.upper()]

    def _scalar(self, name: str, node: yaml.Node, label: str):
        if node.tag not in _SCALAR_TAGS[name]:
            found = getattr(node, "value", node)
            shown = found if isinstance(found, str) else "no single value"
            raise self._fault(
                node, f"{label} is {shown!r}", f"write a value of type {name}"
            )
        value = _constructor.construct_object(node)
        self._check_range(value, node, label)
        return float(value) if name == "number" else value

    def _check_range(self, value, node: yaml.Node, label: str) -> None:
        limits = _RANGES.get(label)
        if limits is None or limits.low <= value <= limits.high:
            return
        raise self._fault(
            node,
            f"{label} is {value}",
            f"use {limits.low:g} to {limits.high:g}",
        )

    def _check_complete(self, built, node: yaml.Node) -> None:
        try:
            built.validate()
        except thrift.protocol.TProtocol.TProtocolException as error:
            missing = re.search(r"field (\w+)", error.message).group(1)
            raise self._fault(
                node,
                f"{type(built).__name__} lacks {missing!r}",
                f"add `{missing}:`",
            ) from error

    def _fault(
        self, node: yaml.Node, found: str, remedy: str
    ) -> errors.DocumentError:
        return errors.DocumentError(
            self._path, _nodes.line_of(node), found, remedy
        )
