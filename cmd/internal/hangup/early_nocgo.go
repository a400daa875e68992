//go:build !(cgo && unix)

package hangup

// restore does nothing. In this build, nothing changes the action of SIGHUP before the Go runtime
// starts, so signal.Reset already restores the inherited action.
func restore() {}
