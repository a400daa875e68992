package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// requiredFields sets the required fields that have no default.
const requiredFields = `"zone": "odense-hal-a", "log": {"address": "127.0.0.1:9000"}, "peers": {"secret": "s"}`

func TestParseNamesTheWrongField(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"no zone":                     {`{}`, `zone: must be set (got "")`},
		"unknown field":               {`{"zone": "a", "listn": {}}`, `listn: no such field (got {})`},
		"unknown nested field":        {`{` + requiredFields + `, "logging": {"fromat": "text"}}`, `logging.fromat: no such field (got "text")`},
		"duration without unit":       {`{` + requiredFields + `, "process": {"shutdown_timeout": 30}}`, `process.shutdown_timeout: duration 30: want a string with a unit such as "250ms" (got 30)`},
		"duration out of range":       {`{` + requiredFields + `, "callers": {"idle_timeout": "25h"}}`, `callers.idle_timeout: must be from 10ms to 1h0m0s (got "25h0m0s")`},
		"no port":                     {`{` + requiredFields + `, "listen": {"admin": "127.0.0.1"}}`, `listen.admin: want host:port such as "127.0.0.1:8080" (got "127.0.0.1")`},
		"port out of range":           {`{` + requiredFields + `, "listen": {"admin": "127.0.0.1:70000"}}`, `listen.admin: port must be from 0 to 65535 (got "127.0.0.1:70000")`},
		"host name":                   {`{` + requiredFields + `, "listen": {"admin": "localhost:80"}}`, `listen.admin: host must be an IP address (got "localhost:80")`},
		"plaintext for callers":       {`{` + requiredFields + `, "listen": {"callers": "0.0.0.0:80"}}`, `callers.allow_plaintext: must be true, or callers.tls set, to listen on 0.0.0.0:80 (got false)`},
		"plaintext for peers":         {`{` + requiredFields + `, "listen": {"peers": ":80"}}`, `peers.allow_plaintext: must be true, or peers.tls set, to listen on :80 (got false)`},
		"plaintext for admin":         {`{` + requiredFields + `, "listen": {"admin": "10.0.0.1:80"}}`, `admin.allow_plaintext: must be true to listen on 10.0.0.1:80 (got false)`},
		"TLS key without certificate": {`{` + requiredFields + `, "callers": {"tls": {"key": "k.pem"}}}`, `callers.tls.certificate: must be set (got "")`},
		"duplicate field":             {`{` + requiredFields + `, "peers": {"secret": "s", "tls": {"key": "k", "certificate": "c"}}}`, `peers: field given twice (got {"secret": "s", "tls": {"key": "k", "certificate": "c"}})`},
		"unknown routing policy":      {`{` + requiredFields + `, "routing": {"policy": "best"}}`, `routing.policy: must be one of expected-completion, two-choices, least-outstanding, round-robin, random (got "best")`},
		"zone delay out of range":     {`{` + requiredFields + `, "routing": {"zone_delays": {"gibeon": "2h"}}}`, `routing.zone_delays.gibeon: must be from 0s to 1m0s (got "2h0m0s")`},
		"zone delay without unit":     {`{` + requiredFields + `, "routing": {"zone_delays": {"gibeon": 2}}}`, `routing.zone_delays: duration 2: want a string with a unit such as "250ms" (got {"gibeon": 2})`},
		"unknown log format":          {`{` + requiredFields + `, "logging": {"format": "xml"}}`, `logging.format: must be one of json, text (got "xml")`},
		"no endpoint":                 {`{` + requiredFields + `, "tracing": {"exporter": "otlp"}}`, `tracing.endpoint: must be set (got "")`},
		"sample out of range":         {`{` + requiredFields + `, "tracing": {"sample": 1.5}}`, `tracing.sample: must be from 0 to 1 (got 1.5)`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			var fieldErr *FieldError
			require.ErrorAs(t, err, &fieldErr)
			require.Equal(t, c.want, err.Error())
		})
	}
}

func TestMutualTLSNeedsAnAuthority(t *testing.T) {
	s, err := Parse([]byte(`{` + requiredFields + `}`))
	require.NoError(t, err)
	s.Peers.TLS = TLS{Certificate: "c.pem", Key: "k.pem"}
	require.EqualError(t, s.Check(), `peers.tls.authority: must be set (got "")`)
}

func TestPrintedSettingsParseToThemselves(t *testing.T) {
	s, err := Parse([]byte(`{` + requiredFields + `}`))
	require.NoError(t, err)
	text, err := s.JSON()
	require.NoError(t, err)
	reparsed, err := Parse(text)
	require.NoError(t, err)
	require.Equal(t, s, reparsed)
}
