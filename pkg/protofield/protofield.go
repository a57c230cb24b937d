// Package protofield reads messages in the wire format of protobuf field by field, for
// types that are encoded without generated code.
package protofield

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"
)

// ForEach visits the fields of an encoded message until visit returns an error. value is set
// for numbers, content, a part of data, for texts and embedded messages. It also returns an
// error if the message is malformed.
func ForEach(data []byte, visit func(field protowire.Number, value uint64, content []byte) error) error {
	for len(data) > 0 {
		field, wireType, n := protowire.ConsumeTag(data)
		if n < 0 {
			return eris.Wrap(protowire.ParseError(n), "read tag")
		}
		data = data[n:]
		var value uint64
		var content []byte
		switch wireType {
		case protowire.VarintType:
			value, n = protowire.ConsumeVarint(data)
		case protowire.BytesType:
			content, n = protowire.ConsumeBytes(data)
		case protowire.Fixed64Type:
			value, n = protowire.ConsumeFixed64(data)
		case protowire.Fixed32Type:
			var short uint32
			short, n = protowire.ConsumeFixed32(data)
			value = uint64(short)
		default:
			n = protowire.ConsumeFieldValue(field, wireType, data)
		}
		if n < 0 {
			return eris.Wrap(protowire.ParseError(n), "read field")
		}
		data = data[n:]
		err := visit(field, value, content)
		if err != nil {
			return err
		}
	}
	return nil
}
