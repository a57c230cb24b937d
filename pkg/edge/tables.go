package edge

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/handoff"
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
	// headerEra is the era of the store to which the versions belong. It is absent in
	// responses of older builds and if the store sends none.
	headerEra = "Table-Era"
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
	// after is the position since which the changes are read, unless full is set.
	after feed.Position
	// eraUnknown says that the reader is of an older build, which sends no era.
	eraUnknown bool
	// base names a value that the reader holds, and baseValue is that value.
	base      feed.Base
	baseValue []byte
}

// Names of the parameters of a table request.
const (
	paramAfter       = "after"
	paramEra         = "era"
	paramRank        = "rank"
	paramBaseKey     = "base"
	paramBaseVersion = "baseVersion"
	paramBaseEra     = "baseEra"
	paramBaseRank    = "baseRank"
)

func parseTableQuery(r *http.Request) (tableQuery, error) {
	values := r.URL.Query()
	query := tableQuery{full: values.Get(paramAfter) == "", eraUnknown: !values.Has(paramEra)}
	query.base.Key = values.Get(paramBaseKey)
	numbers := []struct {
		name string
		to   *uint64
	}{
		{paramAfter, &query.after.Version}, {paramEra, &query.after.Era}, {paramRank, &query.after.Rank},
		{paramBaseVersion, &query.base.Version}, {paramBaseEra, &query.base.Era}, {paramBaseRank, &query.base.Rank},
	}
	for _, number := range numbers {
		text := values.Get(number.name)
		if text == "" {
			continue
		}
		value, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return query, eris.Wrapf(err, "parameter %s", number.name)
		}
		*number.to = value
	}
	return query, nil
}

// peerHandler processes the calls that other gateways hand off, and serves the copies of the
// tables to them, and /metrics.
func (e *Edge) peerHandler() http.Handler {
	tables, calls := e.tableHandler(), e.connectionCloseHandler(http.HandlerFunc(e.proxy.ServeHandoff))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, handedOff := r.Header[handoff.Header]; handedOff {
			calls.ServeHTTP(w, r)
			return
		}
		tables.ServeHTTP(w, r)
	})
}

func (e *Edge) tableHandler() http.Handler {
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
	encoded, err := watched.encodings.Encode(batch, query.base, baseValue)
	if err != nil {
		e.log.Warn("cannot encode a table for another gateway", "table", watched.table, "error", err)
		http.Error(w, "cannot encode the table", http.StatusInternalServerError)
		return
	}
	setBatchHeaders(w.Header(), batch)
	if encoded.Relative {
		w.Header().Set(headerRelative, "1")
	}
	w.Header().Set("Content-Type", tableContentType)
	w.Header().Set("ETag", encoded.ETag)
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(encoded.Body))
}

func setBatchHeaders(header http.Header, batch feed.Batch) {
	header.Set(headerAsOf, strconv.FormatUint(batch.AsOf, 10))
	if batch.Era != 0 {
		header.Set(headerEra, strconv.FormatUint(batch.Era, 10))
	}
	header.Set(headerAge, strconv.FormatInt(batch.Age, 10))
	if batch.RecoveryAge != 0 {
		header.Set(headerRecoveryAge, strconv.FormatInt(batch.RecoveryAge, 10))
	}
	if batch.Full {
		header.Set(headerFull, "1")
	}
}
