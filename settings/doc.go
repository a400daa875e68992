// Package settings reads the static settings of a daemon from a JSON file. The
// file is read once, at the start. Values that change while the daemon runs belong
// to the configuration; see package core/policy.
//
// Settings consist of sections. Each section has a struct, a function that returns
// its defaults and a check method. Load starts from Defaults, so that a file needs
// to set only the values that differ. If a field is unknown, has a wrong unit or is
// out of range, Load returns an error with the JSON path of the first such field.
// docs/SETTINGS.md lists every field.
package settings
