#include <serving/link/codec.hpp>
#include <serving/link/sheet_codec.hpp>

namespace marjorampath::schema
{

void encode(sheet_request const& value, SheetRequest::Builder wire)
{
    wire.setNumber(value.number);
    auto digests = wire.initPartDigests(wire_size(value.part_digests));
    for (std::size_t index = 0; index < value.part_digests.size(); ++index)
        digests.set(static_cast<capnp::uint>(index), value.part_digests[index].c_str());
}

void decode(SheetRequest::Reader wire, sheet_request& value)
{
    value.number = wire.getNumber();
    value.part_digests.clear();
    for (auto const digest : wire.getPartDigests())
        value.part_digests.emplace_back(digest.begin(), digest.size());
}

void encode(sheet_part const& value, SheetPart::Builder wire)
{
    wire.setName(value.name.c_str());
    wire.setText(encode_bytes(value.text));
}

void decode(SheetPart::Reader wire, sheet_part& value)
{
    value.name.assign(wire.getName().begin(), wire.getName().size());
    value.text = decode_bytes(wire.getText());
}

void encode(sheet_reply const& value, SheetReply::Builder wire)
{
    wire.setNumber(value.number);
    wire.setManifest(encode_bytes(value.manifest));
    encode_list(value.parts, wire.initParts(wire_size(value.parts)));
}

void decode(SheetReply::Reader wire, sheet_reply& value)
{
    value.number = wire.getNumber();
    value.manifest = decode_bytes(wire.getManifest());
    decode_list(wire.getParts(), value.parts);
}

} // namespace marjorampath::schema
