package memtable

import (
	"slices"
	"sort"
)

// maxChunkKeys bounds the number of keys that an insertion moves.
const maxChunkKeys = 512

// keyIndex is a sorted set of keys in chunks of bounded length.
type keyIndex struct {
	chunks [][]string
}

// chunkOf returns the index of the chunk where the key is or would be inserted.
func (x *keyIndex) chunkOf(key string) int {
	after := sort.Search(len(x.chunks), func(i int) bool { return x.chunks[i][0] > key })
	return max(0, after-1)
}

// insert adds a key that is not in the set.
func (x *keyIndex) insert(key string) {
	if len(x.chunks) == 0 {
		x.chunks = [][]string{{key}}
		return
	}
	i := x.chunkOf(key)
	at, _ := slices.BinarySearch(x.chunks[i], key)
	x.chunks[i] = slices.Insert(x.chunks[i], at, key)
	if len(x.chunks[i]) <= maxChunkKeys {
		return
	}
	half := len(x.chunks[i]) / 2
	upper := slices.Clone(x.chunks[i][half:])
	x.chunks[i] = slices.Clip(x.chunks[i][:half])
	x.chunks = slices.Insert(x.chunks, i+1, upper)
}

// remove deletes a key that is in the set.
func (x *keyIndex) remove(key string) {
	i := x.chunkOf(key)
	at, _ := slices.BinarySearch(x.chunks[i], key)
	x.chunks[i] = slices.Delete(x.chunks[i], at, at+1)
	if len(x.chunks[i]) == 0 {
		x.chunks = slices.Delete(x.chunks, i, i+1)
	}
}

// ascend visits the keys that are at least from and greater than after, in
// order, until visit returns false.
func (x *keyIndex) ascend(from, after string, visit func(key string) bool) {
	if len(x.chunks) == 0 {
		return
	}
	start := max(from, after)
	for i := x.chunkOf(start); i < len(x.chunks); i++ {
		at, _ := slices.BinarySearch(x.chunks[i], start)
		for _, key := range x.chunks[i][at:] {
			if key > after && !visit(key) {
				return
			}
		}
	}
}
