//go:build !(cgo && unix)

package hangup

// restore has nothing to do: signal.Reset knows the inherited action.
func restore() {}
