package protofield

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"
)

func appendTag(data []byte, field protowire.Number, wireType protowire.Type) []byte {
	return protowire.AppendTag(data, field, wireType)
}

// TestForEachVisitsAllTypes guards against a type of field whose value is lost, and against
// unknown types that end a message.
func TestForEachVisitsAllTypes(t *testing.T) {
	data := protowire.AppendVarint(appendTag(nil, 1, protowire.VarintType), 300)
	data = protowire.AppendBytes(appendTag(data, 2, protowire.BytesType), []byte("text"))
	data = protowire.AppendFixed64(appendTag(data, 3, protowire.Fixed64Type), 1<<40)
	data = protowire.AppendFixed32(appendTag(data, 4, protowire.Fixed32Type), 7)
	data = appendTag(appendTag(data, 5, protowire.StartGroupType), 5, protowire.EndGroupType)
	var visited []string
	assert.NilError(t, ForEach(data, func(field protowire.Number, value uint64, content []byte) error {
		visited = append(visited, fmt.Sprintf("%d %d %q", field, value, content))
		return nil
	}))
	assert.DeepEqual(t, visited, []string{`1 300 ""`, `2 0 "text"`, `3 1099511627776 ""`, `4 7 ""`, `5 0 ""`})
}

// TestForEachRejectsMalformedMessages guards against a truncated message that is taken for a
// complete one.
func TestForEachRejectsMalformedMessages(t *testing.T) {
	whole := protowire.AppendBytes(appendTag(nil, 2, protowire.BytesType), []byte("text"))
	for length := 1; length < len(whole); length++ {
		err := ForEach(whole[:length], func(protowire.Number, uint64, []byte) error { return nil })
		assert.Assert(t, err != nil, "%d bytes", length)
	}
}
