package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/gateway"
	"balsamhill/pkg/membership"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/serverconn"
)

const (
	// gatewayTimeout bounds one request to a gateway.
	gatewayTimeout = time.Second
	// scanLimit is the maximum number of rows of one scan.
	scanLimit = 1000
	// maxStatusBytes bounds one response of /status, which has about 400 bytes for
	// each of up to 910 servers.
	maxStatusBytes = 4 << 20
)

// adminClient connects to admin addresses directly and ignores the proxy settings
// of the environment.
var adminClient = serverconn.NewClient(&http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second})

// gatewayRow is the row of a gateway in the table service, with its age by the
// clock of the store.
type gatewayRow struct {
	membership.Row
	age time.Duration
}

// readRows returns the rows of gateways that are younger than membership.RowTTL
// by the clock of the store. A row that cannot be decoded is returned with its ID
// and state only, so that it does not hide the others.
func readRows(ctx context.Context, table platform.Table) ([]gatewayRow, error) {
	var rows []gatewayRow
	after := ""
	for {
		result, err := table.Scan(ctx, membership.RowPrefix, after, scanLimit)
		if err != nil {
			return nil, err
		}
		for _, stored := range result.Rows {
			after = stored.Key
			row := gatewayRow{}
			err = json.Unmarshal(stored.Value, &row.Row)
			if err != nil {
				row.Row = membership.Row{ID: strings.TrimPrefix(stored.Key, membership.RowPrefix), State: "unreadable row"}
			} else {
				row.age = result.Time.Sub(row.WrittenAt)
			}
			if row.age < membership.RowTTL {
				rows = append(rows, row)
			}
		}
		if !result.More || len(result.Rows) == 0 {
			return rows, nil
		}
	}
}

// queryGateways requests the status of all gateways concurrently and sorts the
// results by ID.
func queryGateways(ctx context.Context, rows []gatewayRow) []gatewayStatus {
	statuses := make([]gatewayStatus, len(rows))
	var group sync.WaitGroup
	for i, row := range rows {
		group.Go(func() { statuses[i] = queryGateway(ctx, row) })
	}
	group.Wait()
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].ID < statuses[j].ID })
	return statuses
}

// queryGateway returns the status that a gateway reports, or the values of its row
// if it is unreachable.
func queryGateway(ctx context.Context, row gatewayRow) gatewayStatus {
	status := gatewayStatus{
		ID:            row.ID,
		Region:        row.Region,
		FailureDomain: row.FailureDomain,
		State:         string(row.State),
		Preset:        row.Preset,
		Revision:      row.Revision,
		InForceSince:  row.InForceSince,
		age:           row.age,
	}
	var document gateway.StatusDocument
	err := sendRequest(ctx, http.MethodGet, "http://"+row.Admin+gateway.BriefStatusPath, nil, &document)
	// Another gateway may have taken over the address of one that is gone.
	if err != nil || document.ID != row.ID {
		return status
	}
	status.Reachable = true
	status.State = document.State
	status.Preset = document.Preset
	status.Revision = document.Revision
	status.InForceSince = document.InForceSince
	return status
}

// sendRequest sends a request with an optional JSON body and decodes the response
// into result unless that is nil.
func sendRequest(ctx context.Context, method, url string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, gatewayTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return err
	}
	response, err := adminClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return eris.Errorf("status %d", response.StatusCode)
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxStatusBytes)).Decode(result)
}
