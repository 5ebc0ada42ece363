"""Tests that the committed stubs match the proto file."""

import re
from pathlib import Path

from sassafrasdale.peers.generated import peers_pb2
from sassafrasdale.peers.generated.peers_grpc import PeersBase

PROTO = Path(__file__).parents[2] / "src/sassafrasdale/peers/peers.proto"
RPC = re.compile(r"rpc (\w+)\((\w+)\) returns \((\w+)\);")
BLOCK = re.compile(r"(?:message|enum) (\w+) \{\n(.*?)\n\}", re.DOTALL)
ENTRY = re.compile(r"(\w+) = (\d+);")


def test_services_match():
    service = peers_pb2.DESCRIPTOR.services_by_name["Peers"]
    generated = [
        (each.name, each.input_type.name, each.output_type.name)
        for each in service.methods
    ]
    assert RPC.findall(PROTO.read_text()) == generated
    assert all(hasattr(PeersBase, name) for name, _, _ in generated)


def test_fields_match():
    declared = {
        name: [(field, int(number)) for field, number in ENTRY.findall(body)]
        for name, body in BLOCK.findall(PROTO.read_text())
    }
    generated = {
        name: [(field.name, field.number) for field in message.fields]
        for name, message in peers_pb2.DESCRIPTOR.message_types_by_name.items()
    }
    for name, enum in peers_pb2.DESCRIPTOR.enum_types_by_name.items():
        generated[name] = [(value.name, value.number) for value in enum.values]
    assert declared == generated
