package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/control"
	"balsamhill/pkg/presetoffer"
)

// errOffersOff is returned for offers if there is no key to verify them and the admin
// address is not a loopback address.
var errOffersOff = eris.New("set admin.operatorKeyFile to take preset offers on this address")

// handleOffer receives a preset from the operator tool, which sends it after the store
// has accepted it.
func (g *Gateway) handleOffer(w http.ResponseWriter, r *http.Request) {
	var offer presetoffer.Offer
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, presetoffer.MaxBytes)).Decode(&offer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key, err := g.offerKey()
	if err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	version, err := offer.Version(key)
	switch {
	case errors.Is(err, presetoffer.ErrSignature):
		g.counters.refusedOffers.Inc()
		http.Error(w, err.Error(), http.StatusForbidden)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		g.send(r.Context(), control.PresetOffered{Version: version, Source: "operator"})
		w.WriteHeader(http.StatusNoContent)
	}
}

// offerKey returns the key that verifies offers. Without a key file, unsigned offers are
// accepted on a loopback address only. The file is read each time, so that a new key
// needs no restart.
func (g *Gateway) offerKey() ([]byte, error) {
	if g.settings.Admin.OperatorKeyFile != "" {
		return presetoffer.ReadKey(g.settings.Admin.OperatorKeyFile)
	}
	address, err := netip.ParseAddrPort(g.AdminAddress())
	if err != nil || !address.Addr().IsLoopback() {
		return nil, errOffersOff
	}
	return nil, nil
}
