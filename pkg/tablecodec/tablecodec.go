// Package tablecodec encodes rows of tables for transfers between gateways. Rows are
// encoded in the wire format of protobuf and compressed with zstd. If sender and receiver
// both hold an earlier value of a large row, the rows are compressed relative to it, so
// that the size of a transfer follows the size of the change and not that of the row. The
// package does no I/O.
package tablecodec

import (
	"bytes"
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/protofield"
)

// Numbers of the protobuf fields of a list of rows and of a row.
const (
	fieldRow protowire.Number = 1

	rowFieldKey     protowire.Number = 1
	rowFieldValue   protowire.Number = 2
	rowFieldVersion protowire.Number = 3
	rowFieldDeleted protowire.Number = 4
)

const (
	// baseID is the number of the dictionary in frames that are compressed relative to a
	// base.
	baseID = 1
	// formatPlain and formatCompressed are the values of the first byte of encoded rows.
	formatPlain      = 0
	formatCompressed = 1
	// minCompressedBytes is the size from which rows are compressed.
	minCompressedBytes = 4 << 10
	// minWindowBytes is the smallest compression window of zstd that is used.
	minWindowBytes = 64 << 10
)

// Encode encodes rows. If base is not empty, Decode needs the same base. Equal arguments
// give equal results.
func Encode(rows []feed.Row, base []byte) ([]byte, error) {
	plain := []byte{formatPlain}
	for _, row := range rows {
		plain = protowire.AppendTag(plain, fieldRow, protowire.BytesType)
		plain = protowire.AppendBytes(plain, encodeRow(row))
	}
	if len(plain) < minCompressedBytes {
		return plain, nil
	}
	plain = plain[1:]
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithWindowSize(windowBytes(len(base) + len(plain))),
		zstd.WithLowerEncoderMem(true),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "create encoder")
	}
	return encoder.EncodeAll(plain, []byte{formatCompressed}), eris.Wrap(encoder.Close(), "close encoder")
}

// windowBytes returns the smallest window, a power of two, that covers the given number of
// bytes or is the largest possible one.
func windowBytes(size int) int {
	window := 1 << bits.Len(uint(max(size, minWindowBytes)-1))
	return min(window, zstd.MaxWindowSize)
}

func encodeRow(row feed.Row) []byte {
	encoded := make([]byte, 0, len(row.Key)+len(row.Value)+32)
	encoded = protowire.AppendTag(encoded, rowFieldKey, protowire.BytesType)
	encoded = protowire.AppendString(encoded, row.Key)
	encoded = protowire.AppendTag(encoded, rowFieldVersion, protowire.VarintType)
	encoded = protowire.AppendVarint(encoded, row.Version)
	if row.Deleted {
		encoded = protowire.AppendTag(encoded, rowFieldDeleted, protowire.VarintType)
		encoded = protowire.AppendVarint(encoded, 1)
	}
	encoded = protowire.AppendTag(encoded, rowFieldValue, protowire.BytesType)
	return protowire.AppendBytes(encoded, row.Value)
}

// Decode decodes the result of Encode with the same base. It returns an error if the
// decoded rows exceed maxBytes or the base is another one.
func Decode(data, base []byte, maxBytes uint64) ([]feed.Row, error) {
	if len(data) == 0 {
		return nil, eris.New("encoded rows lack their format")
	}
	format, data := data[0], data[1:]
	switch format {
	case formatPlain:
		return decodeRows(data)
	case formatCompressed:
		plain, err := decompress(data, base, maxBytes)
		if err != nil {
			return nil, eris.Wrap(err, "decompress rows")
		}
		return decodeRows(plain)
	default:
		return nil, eris.Errorf("unknown format %d of encoded rows", format)
	}
}

func decompress(data, base []byte, maxBytes uint64) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "create decoder")
	}
	defer decoder.Close()
	return decoder.DecodeAll(data, nil)
}

func decodeRows(plain []byte) ([]feed.Row, error) {
	var rows []feed.Row
	err := protofield.ForEach(plain, func(field protowire.Number, _ uint64, content []byte) error {
		if field != fieldRow {
			return nil
		}
		row, err := decodeRow(content)
		rows = append(rows, row)
		return err
	})
	return rows, err
}

func decodeRow(data []byte) (feed.Row, error) {
	var row feed.Row
	err := protofield.ForEach(data, func(field protowire.Number, value uint64, content []byte) error {
		switch field {
		case rowFieldKey:
			row.Key = string(content)
		case rowFieldValue:
			row.Value = content
			if len(content) < minCompressedBytes {
				// A small value must not keep the memory of all rows in use.
				row.Value = bytes.Clone(content)
			}
		case rowFieldVersion:
			row.Version = value
		case rowFieldDeleted:
			row.Deleted = value != 0
		}
		return nil
	})
	return row, err
}
