package edge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/tablecodec"
)

const (
	// maxTableBytes bounds a table that is read from another gateway, encoded and decoded.
	maxTableBytes = 16 << 20
	tablePath     = "/table/"
	// tableContentType is the type of responses that package tablecodec encodes. Gateways of
	// older builds do not accept it and get JSON.
	tableContentType = "application/x-balsamhill-rows"
)

// Headers of responses with rows. Their values may differ between responses with the same
// rows and therefore the same ETag.
const (
	headerAsOf = "Table-As-Of"
	// headerAge and headerRecoveryAge are in nanoseconds; see feed.Batch.
	headerAge         = "Table-Age"
	headerRecoveryAge = "Table-Recovery-Age"
	// headerFull is set if the rows are the whole table.
	headerFull = "Table-Full"
	// headerRelative is set if the rows are encoded relative to the base of the query.
	headerRelative = "Table-Relative"
)

// tableQuery says which rows a gateway reads from another one.
type tableQuery struct {
	full bool
	// after is the version since which the changes are read, unless full is set.
	after uint64
	// base names a value that the reader holds, and baseValue is that value.
	base      feed.Base
	baseValue []byte
}

// Names of the parameters of a table request.
const (
	paramAfter       = "after"
	paramBaseKey     = "base"
	paramBaseVersion = "baseVersion"
)

func parseTableQuery(r *http.Request) (tableQuery, error) {
	values := r.URL.Query()
	query := tableQuery{full: values.Get(paramAfter) == ""}
	var err error
	if !query.full {
		query.after, err = strconv.ParseUint(values.Get(paramAfter), 10, 64)
	}
	if err == nil && values.Has(paramBaseKey) {
		query.base.Key = values.Get(paramBaseKey)
		query.base.Version, err = strconv.ParseUint(values.Get(paramBaseVersion), 10, 64)
	}
	return query, err
}

// peerHandler serves the copies of the tables to other gateways, and /metrics.
func (e *Edge) peerHandler() http.Handler {
	mux := http.NewServeMux()
	for _, w := range e.watchers {
		mux.HandleFunc("GET "+tablePath+string(w.table), func(writer http.ResponseWriter, r *http.Request) {
			e.serveTable(writer, r, w)
		})
	}
	mux.Handle("GET /metrics", e.metricsHandler())
	return mux
}

func (e *Edge) serveTable(w http.ResponseWriter, r *http.Request, watched *watcher) {
	query, err := parseTableQuery(r)
	if err != nil {
		http.Error(w, "invalid version: "+err.Error(), http.StatusBadRequest)
		return
	}
	batch, baseValue, known := watched.batchFor(query)
	if !known {
		http.Error(w, "the table is not known yet", http.StatusServiceUnavailable)
		return
	}
	if r.Header.Get("Accept") != tableContentType {
		// An error here means that the other gateway closed the connection.
		_ = json.NewEncoder(w).Encode(batch)
		return
	}
	encoded, err := watched.encodings.encode(batch.Rows, query.base, baseValue)
	if err != nil {
		e.log.Warn("cannot encode a table for another gateway", "table", watched.table, "error", err)
		http.Error(w, "cannot encode the table", http.StatusInternalServerError)
		return
	}
	setBatchHeaders(w.Header(), batch)
	if encoded.relative {
		w.Header().Set(headerRelative, "1")
	}
	w.Header().Set("Content-Type", tableContentType)
	w.Header().Set("ETag", encoded.etag)
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(encoded.body))
}

func setBatchHeaders(header http.Header, batch feed.Batch) {
	header.Set(headerAsOf, strconv.FormatUint(batch.AsOf, 10))
	header.Set(headerAge, strconv.FormatInt(batch.Age, 10))
	if batch.RecoveryAge != 0 {
		header.Set(headerRecoveryAge, strconv.FormatInt(batch.RecoveryAge, 10))
	}
	if batch.Full {
		header.Set(headerFull, "1")
	}
}

// encodedRows is the body of a response.
type encodedRows struct {
	id   uint64
	body []byte
	etag string
	// relative says that the body is encoded relative to the base of the query.
	relative bool
}

// maxEncodings is how many large bodies are kept for further readers, and minKeptBytes the
// size from which a body is kept.
const (
	maxEncodings = 4
	minKeptBytes = 4 << 10
)

// encodings encodes rows and keeps the large results, because a change is read by all
// gateways of a group at about the same time. It is safe for concurrent use.
type encodings struct {
	mu   sync.Mutex
	kept []encodedRows
}

// encode encodes rows relative to a value of another row, if that is not nil.
func (e *encodings) encode(rows []feed.Row, base feed.Base, baseValue []byte) (encodedRows, error) {
	if baseValue == nil {
		base = feed.Base{}
	}
	id, size := identify(rows, base)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, kept := range e.kept {
		if kept.id == id {
			return kept, nil
		}
	}
	body, err := tablecodec.Encode(rows, baseValue)
	encoded := encodedRows{
		id: id, body: body, relative: baseValue != nil, etag: fmt.Sprintf(`"%016x"`, xxhash.Sum64(body)),
	}
	if err == nil && size >= minKeptBytes {
		e.kept = append(e.kept, encoded)
		e.kept = slices.Delete(e.kept, 0, max(0, len(e.kept)-maxEncodings))
	}
	return encoded, err
}

// identify returns a hash of the names and versions of rows and of their base, and the size
// of the rows.
func identify(rows []feed.Row, base feed.Base) (id uint64, size int) {
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%q %d", base.Key, base.Version)
	for _, row := range rows {
		_, _ = fmt.Fprintf(digest, " %q %d %t", row.Key, row.Version, row.Deleted)
		size += len(row.Value)
	}
	return digest.Sum64(), size
}
