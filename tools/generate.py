"""Generates typed Python code from the schemas.

Each ``poplarspoke/schema/NAME.capnp`` becomes
``poplarspoke/generated/NAME.py`` with one ``NamedTuple`` for each struct and
its codecs; each ``NAME.json`` becomes ``TypedDict`` settings.

Run ``python -m tools.generate`` to write the files and
``python -m tools.generate --check`` to verify that they are current.
"""

import pathlib
import re
import subprocess
import sys
import tempfile
from typing import Any, NamedTuple

import capnp

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA_DIR = ROOT / 'poplarspoke' / 'schema'
TARGET_DIR = ROOT / 'poplarspoke' / 'generated'
NO_DISCRIMINANT = 0xFFFF
TYPED_DICT_IMPORT = 'import Literal, NotRequired, TypedDict'
SCALARS = {
    'text': 'str',
    'data': 'bytes',
    'bool': 'bool',
    'float64': 'float',
}
INTEGERS = re.compile(r'u?int(8|16|32|64)')
STRUCT = re.compile(
    r'^struct (?P<name>\w+) \{\n(?P<doc>(?:  #[^\n]*\n)*)(?P<body>.*?)^\}',
    re.DOTALL | re.MULTILINE,
)
ENUM = re.compile(r'^enum (?P<name>\w+) \{\n(?P<doc>(?:  #.*\n)*)', re.M)
FIELD_NOTE = re.compile(r'^\s+(\w+) @\d+ ?:[^;]+;\s*# (.+)$', re.M)
HEADER = '''"""Messages of ``schema/{name}.capnp``; generated, do not edit."""

import enum
from collections.abc import Mapping
from typing import Any, NamedTuple

from poplarspoke import codec
{imports}
'''


class FieldType(NamedTuple):
    """Python type of a schema field.

    Attributes:
        kind: ``scalar``, ``struct`` or ``enum``.
        name: Python type name, qualified if it is in another module.
        repeated: Whether the field is a list.
    """

    kind: str
    name: str
    repeated: bool


class Field(NamedTuple):
    """A schema field; ``wire_name`` is its name in the capnp schema."""

    name: str
    wire_name: str
    type: FieldType
    in_union: bool


class Struct(NamedTuple):
    """A schema struct; ``notes`` documents fields by name."""

    name: str
    doc: str
    notes: dict[str, str]
    fields: list[Field]


def snake_case(name: str) -> str:
    """Returns a ``camelCase`` name as ``snake_case``."""
    return re.sub('(?<!^)(?=[A-Z])', '_', name).lower()


def qualify_name(display_name: str, module: str) -> str:
    """Returns the Python name of ``file.capnp:Struct`` seen from a module."""
    path, _, struct = display_name.partition(':')
    owner = pathlib.Path(path).stem
    return struct if owner == module else f'{owner}.{struct}'


def resolve_scalar(which: str) -> str:
    """Returns the Python name of a scalar capnp type.

    Raises:
        TypeError: The generator does not support the type.
    """
    if which in SCALARS:
        return SCALARS[which]
    if INTEGERS.fullmatch(which):
        return 'int'
    raise TypeError(f'schema type {which} is not supported; use another')


def resolve_type(field: Any, module: str) -> FieldType:
    """Returns the Python type of a reflected capnp field."""
    slot_type = field.proto.slot.type
    which = str(slot_type.which())
    repeated = which == 'list'
    if repeated:
        which = str(slot_type.list.elementType.which())
    if which not in {'struct', 'enum'}:
        return FieldType('scalar', resolve_scalar(which), repeated)
    schema = field.schema.elementType if repeated else field.schema
    name = qualify_name(str(schema.node.displayName), module)
    return FieldType(which, name, repeated)


def read_fields(schema: Any, module: str) -> list[Field]:
    """Returns the fields of a reflected struct in schema order."""
    return [
        Field(
            snake_case(field.proto.name),
            field.proto.name,
            resolve_type(field, module),
            field.proto.discriminantValue != NO_DISCRIMINANT,
        )
        for field in schema.fields_list
    ]


def clean_doc(text: str) -> str:
    """Returns the text of a block of capnp comments."""
    lines = (line.strip().removeprefix('#') for line in text.splitlines())
    return '\n'.join(line.removeprefix(' ') for line in lines)


def read_structs(loaded: Any, text: str, module: str) -> list[Struct]:
    """Returns the structs of a schema file in file order."""
    structs = []
    for match in STRUCT.finditer(text):
        name = match['name']
        notes = {
            snake_case(field): note
            for field, note in FIELD_NOTE.findall(match['body'])
        }
        fields = read_fields(getattr(loaded, name).schema, module)
        structs.append(Struct(name, clean_doc(match['doc']), notes, fields))
    return structs


def annotate(field_type: FieldType) -> str:
    """Returns the annotation of a field."""
    if field_type.repeated:
        return f'tuple[{field_type.name}, ...]'
    return field_type.name


def render_default(field_type: FieldType) -> str:
    """Returns the expression of the default, the capnp zero value."""
    if field_type.repeated:
        return '()'
    if field_type.kind == 'struct':
        return f'{field_type.name}()'
    if field_type.kind == 'enum':
        return f'{field_type.name}(0)'
    zeros = {'str': "''", 'bytes': "b''", 'bool': 'False', 'float': '0.0'}
    return zeros.get(field_type.name, '0')


def render_doc(struct: Struct) -> list[str]:
    """Returns the docstring lines of a message class."""
    doc = struct.doc or f'Message {struct.name}.'
    lines = doc.splitlines()
    body = [f'    {line}'.rstrip() for line in lines[1:]]
    if not struct.notes:
        if not body:
            return [f'    """{lines[0]}"""', '']
        return [f'    """{lines[0]}', *body, '    """', '']
    notes = [f'        {name}: {note}' for name, note in struct.notes.items()]
    return [
        f'    """{lines[0]}',
        *body,
        '',
        '    Attributes:',
        *notes,
        '    """',
        '',
    ]


def render_class(struct: Struct) -> list[str]:
    """Returns the lines of a ``NamedTuple`` class."""
    lines = [f'class {struct.name}(NamedTuple):', *render_doc(struct)]
    plain = [field for field in struct.fields if not field.in_union]
    union = [field for field in struct.fields if field.in_union]
    for field in plain:
        default = render_default(field.type)
        lines.append(f'    {field.name}: {annotate(field.type)} = {default}')
    if union:
        names = ' | '.join(field.type.name for field in union)
        default = render_default(union[0].type)
        lines.append(f'    body: {names} = {default}')
    return [*lines, '', '']


def split_name(name: str) -> tuple[str, str]:
    """Splits a qualified name into its module prefix and the bare name."""
    module, dot, bare = name.rpartition('.')
    return (f'{module}{dot}', bare)


def helper_name(verb: str, type_name: str) -> str:
    """Returns the name of a codec function for a struct."""
    prefix, bare = split_name(type_name)
    return f'{prefix}{verb}_{snake_case(bare)}'


def render_fill(struct: Struct) -> list[str]:
    """Returns the function that copies a message into a capnp builder."""
    lines = [
        f'def {helper_name("fill", struct.name)}('
        f'builder: Any, message: {struct.name}) -> None:',
        f'    """Copies the message into a capnp builder."""',
    ]
    for field in struct.fields:
        if field.in_union:
            continue
        lines.extend(render_fill_field(field))
    union = [field for field in struct.fields if field.in_union]
    if union:
        lines.append('    match message.body:')
    for field in union:
        fill = helper_name('fill', field.type.name)
        lines.append(f'        case {field.type.name}():')
        lines.append(
            f"            {fill}(builder.init('{field.wire_name}'), "
            'message.body)',
        )
    return [*lines, '', '']


def render_fill_field(field: Field) -> list[str]:
    """Returns the lines that copy one field into a builder."""
    source = f'message.{field.name}'
    target = f'builder.{field.wire_name}'
    if field.type.kind == 'struct':
        fill = helper_name('fill', field.type.name)
        if not field.type.repeated:
            return [f'    {fill}({target}, {source})']
        return [
            f'    {field.name}_builders = builder.init('
            f"'{field.wire_name}', len({source}))",
            f'    for {field.name}_index, {field.name}_entry in '
            f'enumerate({source}):',
            f'        {fill}({field.name}_builders[{field.name}_index], '
            f'{field.name}_entry)',
        ]
    if field.type.kind == 'enum':
        return [f'    {target} = {source}.value']
    if field.type.repeated:
        return [f'    {target} = list({source})']
    return [f'    {target} = {source}']


def render_read(struct: Struct) -> list[str]:
    """Returns the function that builds a message from a capnp reader."""
    name = struct.name
    lines = [
        f'def {helper_name("read", name)}(reader: Any) -> {name}:',
        f'    """Returns the message that a capnp reader holds."""',
    ]
    union = [field for field in struct.fields if field.in_union]
    if union:
        lines.append('    body: Any')
        lines.append('    match str(reader.which()):')
    for field in union:
        read = helper_name('read', field.type.name)
        lines.append(f"        case '{field.wire_name}':")
        lines.append(f'            body = {read}(reader.{field.wire_name})')
    if union:
        lines.append('        case other:')
        lines.append('            raise codec.unknown_variant(other)')
    lines.append(f'    return {name}(')
    for field in struct.fields:
        if not field.in_union:
            lines.append(f'        {field.name}={render_read_field(field)},')
    if union:
        lines.append('        body=body,')
    return [*lines, '    )', '', '']


def render_read_field(field: Field) -> str:
    """Returns the expression that reads one field."""
    source = f'reader.{field.wire_name}'
    kind, name, repeated = field.type
    if kind == 'struct':
        read = helper_name('read', name)
        if repeated:
            return f'tuple({read}(entry) for entry in {source})'
        return f'{read}({source})'
    if kind == 'enum':
        return f'{name}({source}.raw)'
    if repeated:
        return f'tuple({source})'
    if name == 'float':
        return f'codec.finite({source})'
    return source


def render_parse(struct: Struct) -> list[str]:
    """Returns the function that builds a message from a JSON object."""
    name = struct.name
    keys = ', '.join(
        repr(field.name) for field in struct.fields if not field.in_union
    )
    comma = ',' if keys else ''
    lines = [
        f'def {helper_name("parse", name)}('
        f'source: Mapping[str, Any], path: str) -> {name}:',
        f'    """Returns the message that a JSON object holds."""',
        f'    codec.check_keys(source, ({keys}{comma}), path)',
        f'    return {name}(',
    ]
    for field in struct.fields:
        if not field.in_union:
            lines.append(f'        {field.name}={render_parse_field(field)},')
    return [*lines, '    )', '', '']


def render_parse_field(field: Field) -> str:
    """Returns the expression that parses one field of a JSON object."""
    kind, name, repeated = field.type
    arguments = f"source, '{field.name}', path"
    if kind == 'struct':
        parse = helper_name('parse', name)
        verb = 'take_structs' if repeated else 'take_struct'
        return f'codec.{verb}({arguments}, {parse})'
    if kind == 'enum':
        return f'codec.take_enum({arguments}, {name})'
    if repeated:
        return f'codec.take_scalars({arguments}, {name})'
    return f'codec.take_scalar({arguments}, {name})'


def render_enum(name: str, doc: str, members: list[str]) -> list[str]:
    """Returns the lines of an enumeration."""
    first = doc.splitlines()[0] if doc else f'Enumeration {name}.'
    lines = [f'class {name}(enum.IntEnum):', f'    """{first}"""', '']
    for number, member in enumerate(members):
        lines.append(f'    {snake_case(member).upper()} = {number}')
    return [*lines, '', '']


def render_codecs(structs: list[Struct], module: str) -> list[str]:
    """Returns the lines that register the codecs of a module."""
    lines = []
    for struct in structs:
        verbs = ('fill', 'read', 'parse')
        functions = ', '.join(helper_name(verb, struct.name) for verb in verbs)
        union = any(field.in_union for field in struct.fields)
        if union:
            functions = functions.replace(
                helper_name('parse', struct.name), 'None'
            )
        lines.append(f"codec.register({struct.name}, '{module}', {functions})")
    return lines


def render_module(path: pathlib.Path) -> str:
    """Returns the generated module of one schema file."""
    text = path.read_text()
    module = path.stem
    loaded = capnp.load(str(path), imports=[str(SCHEMA_DIR)])
    structs = read_structs(loaded, text, module)
    imported = re.findall(r'import "/?(\w+)\.capnp"', text)
    imports = ''.join(
        f'from poplarspoke.generated import {name}\n' for name in imported
    )
    lines: list[str] = []
    for match in ENUM.finditer(text):
        members = list(getattr(loaded, match['name']).schema.enumerants)
        members.sort(key=getattr(loaded, match['name']).schema.enumerants.get)
        doc = clean_doc(match['doc'])
        lines.extend(render_enum(match['name'], doc, members))
    for struct in structs:
        lines.extend(render_class(struct))
        lines.extend(render_fill(struct))
        lines.extend(render_read(struct))
        if not any(field.in_union for field in struct.fields):
            lines.extend(render_parse(struct))
    lines.extend(render_codecs(structs, module))
    header = HEADER.format(name=module, imports=imports)
    return '{0}\n{1}\n'.format(header, '\n'.join(lines))


def render_settings(path: pathlib.Path) -> str:
    """Returns the ``TypedDict`` settings of a JSON Schema file."""
    with tempfile.TemporaryDirectory() as folder:
        target = pathlib.Path(folder) / 'settings.py'
        subprocess.run(  # noqa: S603
            [
                str(pathlib.Path(sys.executable).parent / 'datamodel-codegen'),
                '--input',
                str(path),
                '--input-file-type',
                'jsonschema',
                '--output-model-type',
                'typing.TypedDict',
                '--disable-timestamp',
                '--use-schema-description',
                '--target-python-version',
                '3.11',
                '--formatters',
                'black',
                '--output',
                str(target),
            ],
            check=True,
            capture_output=True,
        )
        # mypy does not support ``closed`` of typing_extensions yet.
        return (
            target.read_text()
            .replace(', closed=True', '')
            .replace('import Literal, NotRequired', TYPED_DICT_IMPORT)
            .replace('from typing_extensions import TypedDict\n', '')
        )


def render_all() -> dict[pathlib.Path, str]:
    """Returns the content of each generated file by its path."""
    rendered = {
        TARGET_DIR / f'{path.stem}.py': render_module(path)
        for path in sorted(SCHEMA_DIR.glob('*.capnp'))
    }
    for path in sorted(SCHEMA_DIR.glob('*.json')):
        rendered[TARGET_DIR / f'{path.stem}.py'] = render_settings(path)
    return rendered


def main(arguments: list[str]) -> int:
    """Writes or checks the generated files; returns the exit status."""
    stale = []
    for path, content in render_all().items():
        if path.exists() and path.read_text() == content:
            continue
        stale.append(path.name)
        if '--check' not in arguments:
            path.write_text(content)
    if stale and '--check' in arguments:
        names = ', '.join(stale)
        print(f'generate: stale: {names}; run make generate')
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
