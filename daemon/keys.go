package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/claims"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/hop"
	"github.com/dottereltiller/dottereltiller/owner"
	"github.com/dottereltiller/dottereltiller/wire"
)

// KeysPath is the path on the callers' address where a POST request obtains a new
// idempotency key.
const KeysPath = "/.well-known/dottereltiller/keys"

// maxGrantCheckInterval is the longest time between two checks of the grants. A grant
// makes a daemon the owner of a range of idempotency keys for a limited time. Each check
// decides whether grants must be read or renewed. Grants are valid for much longer than one
// second (settings field keys.grant), so the checks need not be frequent.
const maxGrantCheckInterval = time.Second

// buildOwner sets up the component that owns idempotency keys, and registers it at the
// peer service for handovers of keys. The entry is built after the owner, so Execute
// reads d.Entry only when a request with a key arrives.
func (d *Daemon) buildOwner(client *hop.Client) {
	keySettings := d.settings.Keys
	d.Owner = owner.New(owner.Options{
		Self:             d.ID(),
		Log:              d.Log,
		Execute:          func(ctx context.Context, c *wire.Call) *wire.Result { return d.Entry.ForwardKeyed(ctx, c) },
		Candidates:       d.ownerCandidates,
		Client:           client,
		PeerSecret:       d.settings.Peers.Secret,
		Messenger:        owner.PeerMessenger{Client: d.PeerClient},
		GrantDuration:    time.Duration(keySettings.Grant),
		Retention:        time.Duration(keySettings.Retention),
		PollInterval:     min(maxGrantCheckInterval, time.Duration(keySettings.Grant)/minChecksPerGrant),
		MaxBodyBytes:     keySettings.MaxBodyBytes,
		MaxResponseBytes: keySettings.MaxAnswerBytes,
		Limits:           claims.Limits{Claims: keySettings.MaxClaims, AnswerBytes: keySettings.MaxAnswersBytes},
		Scope:            d.scope("keys"),
		Logger:           d.logger,
	})
	d.PeerService.HandOver = d.Owner.HandOver
}

// minChecksPerGrant is the minimum number of checks of the grants within the duration of
// one grant.
const minChecksPerGrant = 20

// ownerCandidates returns the daemons that may own keys. These are the daemons that have
// an upstream in this daemon's membership view and are not considered dead.
func (d *Daemon) ownerCandidates() []model.DaemonID {
	peers := d.Members.Peers()
	out := make([]model.DaemonID, 0, len(peers))
	for _, p := range peers {
		out = append(out, p.ID)
	}
	return out
}

// serveKeys returns a handler that issues idempotency keys at KeysPath and passes all
// other requests to next.
func (d *Daemon) serveKeys(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != KeysPath {
			next.ServeHTTP(w, r)
			return
		}
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			http.Error(w, "use POST to obtain a key", http.StatusMethodNotAllowed)
			return
		}
		key, owned := d.Owner.NewKey()
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		w.WriteHeader(http.StatusCreated)
		_ = json.NewEncoder(w).Encode(issuedKey{Key: key.String(), Owned: owned})
	})
}

// issuedKey is the response body at KeysPath.
type issuedKey struct {
	Key string `json:"key"`
	// Owned is false when no daemon owns the key yet. A request with the key can
	// run only once a daemon owns it.
	Owned bool `json:"owned"`
}
