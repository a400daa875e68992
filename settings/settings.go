package settings

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/strictjson"
)

// Settings are a daemon's static settings.
type Settings struct {
	// Zone is the availability zone of this VM.
	Zone    model.AvailabilityZone `json:"zone"`
	Listen  Listen                 `json:"listen"`
	Log     Log                    `json:"log"`
	Callers Callers                `json:"callers"`
	Peers   Peers                  `json:"peers"`
	Admin   Admin                  `json:"admin"`
	Routing Routing                `json:"routing"`
	Keys    Keys                   `json:"keys"`
	Process Process                `json:"process"`
	Logging Logging                `json:"logging"`
	Tracing Tracing                `json:"tracing"`
}

// FieldError reports the first invalid field of a settings file.
type FieldError = strictjson.FieldError

// Defaults returns the default settings. They are not valid by themselves, since
// some required fields have no default.
func Defaults() Settings {
	return Settings{
		Listen:  defaultListen(),
		Log:     defaultLog(),
		Callers: defaultCallers(),
		Keys:    defaultKeys(),
		Routing: Routing{ZoneDelays: map[model.AvailabilityZone]policy.Duration{}},
		Process: defaultProcess(),
		Logging: defaultLogging(),
		Tracing: defaultTracing(),
	}
}

// Load reads, parses and checks a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse parses settings in JSON and checks them. Its errors are of type *FieldError.
func Parse(data []byte) (Settings, error) {
	s := Defaults()
	if err := strictjson.Unmarshal(data, &s); err != nil {
		return Settings{}, err
	}
	return s, s.Check()
}

// Check returns a *FieldError for the first invalid field, nil when all are valid.
func (s Settings) Check() error {
	c := &checker{}
	c.checkNotEmpty("zone", string(s.Zone))
	s.Listen.check(c)
	s.Log.check(c)
	s.Callers.check(c, s.Listen)
	s.Peers.check(c, s.Listen)
	s.Admin.check(c, s.Listen)
	s.Keys.check(c)
	s.Routing.check(c)
	s.Process.check(c)
	s.Logging.check(c)
	s.Tracing.check(c)
	return c.result()
}

// JSON returns the settings as indented JSON. Parse accepts the JSON if the settings
// are valid.
func (s Settings) JSON() ([]byte, error) { return json.MarshalIndent(s, "", "  ") }
