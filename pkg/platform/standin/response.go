package standin

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// minCompressedBytes is the minimum size of a response that is compressed.
const minCompressedBytes = 1 << 10

// writeCompressedJSON writes a JSON response. It is compressed if it has at least
// minCompressedBytes and the client accepts gzip.
func writeCompressedJSON(w http.ResponseWriter, r *http.Request, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeCompressed(w, r, data)
}

// writeConditionalJSON responds with 304 if the client has the current value. The
// entity tag is weak, because it is the same for both encodings.
func writeConditionalJSON(w http.ResponseWriter, r *http.Request, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("W/\"%016x\"", xxhash.Sum64(data))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeCompressed(w, r, data)
}

func writeCompressed(w http.ResponseWriter, r *http.Request, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Vary", "Accept-Encoding")
	if len(data) < minCompressedBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(data)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	// An error here means that the client has closed the connection.
	compressed := gzip.NewWriter(w)
	_, _ = compressed.Write(data)
	_ = compressed.Close()
}
