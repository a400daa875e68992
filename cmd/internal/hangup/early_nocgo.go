//go:build !(cgo && unix)

package hangup

// restore does nothing. Without the constructor in early_cgo.go, signal.Reset already restores the
// inherited action.
func restore() {}
