//go:build !(cgo && unix)

package hangup

// restore does nothing: without the cgo constructor, signal.Reset restores the inherited
// action.
func restore() {}
