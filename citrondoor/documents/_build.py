"""Builds instances of generated schema classes from YAML nodes.

Checks keys, types, enumeration values, ranges and required fields against the
schema; each error names the line of the node.
"""

import functools
import re
from collections.abc import Callable

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

# Indexes into the tuple of one field in a generated class's `thrift_spec`.
FIELD_TYPE = 1
FIELD_NAME = 2
FIELD_TYPE_ARGS = 3
FIELD_DEFAULT = 4

_RANGES = {
    **declaration_constants.RANGES,
    **setting_constants.RANGES,
    **serving_constants.RANGES,
}
_TTYPE = thrift.Thrift.TType
_SCALAR_TYPE_BY_TTYPE = {
    _TTYPE.BOOL: "bool",
    _TTYPE.I32: "int",
    _TTYPE.I64: "int",
    _TTYPE.DOUBLE: "number",
    _TTYPE.STRING: "str",
}
_TAGS_BY_SCALAR_TYPE = {
    "bool": ("tag:yaml.org,2002:bool",),
    # A float must be integral, such as 30.0.
    "int": ("tag:yaml.org,2002:int", "tag:yaml.org,2002:float"),
    "number": ("tag:yaml.org,2002:int", "tag:yaml.org,2002:float"),
    "str": ("tag:yaml.org,2002:str",),
}
_NULL_TAG = "tag:yaml.org,2002:null"
# A number as JSON writes it. Of those with an exponent, YAML 1.1 takes the ones
# without a fraction or without a sign of the exponent for texts.
_JSON_EXPONENT_NUMBER = re.compile(
    r"-?(0|[1-9]\d*)(\.\d+)?[eE][+-]?\d+", re.ASCII
)
# Converts scalar nodes to Python values.
_constructor = yaml.SafeLoader("")


@functools.cache
def _fields_by_name(schema_class: type) -> dict[str, tuple]:
    return {
        field[FIELD_NAME]: field for field in schema_class.thrift_spec if field
    }


def _is_null(node: yaml.Node) -> bool:
    return node.tag == _NULL_TAG


def _is_exponent_number(node: yaml.Node) -> bool:
    return (
        isinstance(node, yaml.ScalarNode)
        # Not in quotes.
        and not node.style
        and _JSON_EXPONENT_NUMBER.fullmatch(node.value) is not None
    )


class Builder:
    """Builds the objects of one document.

    Args:
      path: File or key of the document, for error messages.
      on_unknown: Called with the error of each unknown key, which is ignored
        then; None means that an unknown key is an error.
    """

    __slots__ = ("_on_unknown", "_path")

    def __init__(
        self,
        path: str,
        on_unknown: Callable[[errors.DocumentError], None] | None = None,
    ):
        self._path = path
        self._on_unknown = on_unknown

    def build(self, schema_class: type, node: yaml.Node):
        """Returns an instance of a generated class with a node's values.

        Args:
          schema_class: Generated class of the schema.
          node: Mapping from field names to values.

        Raises:
          errors.DocumentError: The node does not match the schema.
        """
        if not isinstance(node, yaml.MappingNode):
            raise self._error(
                node,
                f"{schema_class.__name__} is not a mapping",
                "write `key: value`",
            )
        values = {}
        for key_node, value_node in node.value:
            key = key_node.value
            try:
                field = self._find_field(schema_class, key_node)
            except errors.DocumentError as error:
                if self._on_unknown is None:
                    raise
                self._on_unknown(error)
                continue
            if key in values:
                raise self._error(
                    key_node, f"duplicate key {key!r}", "keep one"
                )
            label = f"{schema_class.__name__}.{key}"
            if _is_null(value_node) and field[FIELD_DEFAULT] == []:
                # How some templates write a list without items.
                values[key] = []
                continue
            values[key] = self._build_value(
                field[FIELD_TYPE], field[FIELD_TYPE_ARGS], value_node, label
            )
        built = schema_class(**values)
        self._check_complete(built, node)
        return built

    def _find_field(self, schema_class: type, key_node: yaml.Node) -> tuple:
        fields = _fields_by_name(schema_class)
        try:
            return fields[key_node.value]
        except (KeyError, TypeError):
            field_names = ", ".join(sorted(fields))
            raise self._error(
                key_node,
                f"unknown key {key_node.value!r} in {schema_class.__name__}",
                f"use one of: {field_names}",
            ) from None

    def _build_value(self, ttype: int, type_args, node: yaml.Node, label: str):
        if ttype == _TTYPE.STRUCT:
            return self.build(type_args[0], node)
        if ttype == _TTYPE.LIST:
            return self._build_list(type_args, node, label)
        enum_name = declaration_constants.ENUMS.get(label)
        if enum_name is not None:
            return self._build_enum(
                getattr(declarations, enum_name), node, label
            )
        return self._build_scalar(_SCALAR_TYPE_BY_TTYPE[ttype], node, label)

    def _build_list(self, type_args, node: yaml.Node, label: str) -> list:
        if not isinstance(node, yaml.SequenceNode):
            raise self._error(node, f"{label} is not a list", "write a list")
        item_type, item_type_args = type_args[0], type_args[1]
        return [
            self._build_value(item_type, item_type_args, item, label)
            for item in node.value
        ]

    def _build_enum(self, enum_class, node: yaml.Node, label: str):
        names = [member.name.lower() for member in enum_class]
        if node.value not in names:
            raise self._error(
                node,
                f"{label} is {node.value!r}",
                f"use one of: {', '.join(names)}",
            )
        return enum_class[node.value.upper()]

    def _build_scalar(self, scalar_type: str, node: yaml.Node, label: str):
        if scalar_type in ("int", "number") and _is_exponent_number(node):
            value = float(node.value)
        elif node.tag in _TAGS_BY_SCALAR_TYPE[scalar_type]:
            value = _constructor.construct_object(node)
        else:
            content = getattr(node, "value", node)
            shown = content if isinstance(content, str) else "a list or mapping"
            raise self._error(
                node,
                f"{label} is {shown!r}",
                f"write a value of type {scalar_type} (quoted if it is str,"
                " otherwise without quotes)",
            )
        if scalar_type == "int":
            if value != value // 1:
                raise self._error(
                    node, f"{label} is {node.value!r}", "write a whole number"
                )
            value = int(value)
        self._check_range(value, node, label)
        return float(value) if scalar_type == "number" else value

    def _check_range(self, value, node: yaml.Node, label: str) -> None:
        limits = _RANGES.get(label)
        if limits is None or limits.low <= value <= limits.high:
            return
        raise self._error(
            node,
            f"{label} is {value}",
            f"use {limits.low:g} to {limits.high:g}",
        )

    def _check_complete(self, built, node: yaml.Node) -> None:
        try:
            built.validate()
        except thrift.protocol.TProtocol.TProtocolException as error:
            missing = re.search(r"field (\w+)", error.message).group(1)
            raise self._error(
                node,
                f"{type(built).__name__} is missing the field {missing!r}",
                f"add `{missing}:`",
            ) from error

    def _error(
        self, node: yaml.Node, found: str, remedy: str
    ) -> errors.DocumentError:
        return errors.DocumentError(
            self._path, _nodes.line_of(node), found, remedy
        )
