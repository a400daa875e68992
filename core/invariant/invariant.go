package invariant

import "fmt"

// Broken is the value of the panic for a broken invariant.
type Broken struct {
	// Name identifies the invariant, for example "admission: running at most limit".
	Name string
	// Detail describes the state that breaks the invariant.
	Detail string
}

// Error returns the name and the detail on one line.
func (b *Broken) Error() string { return fmt.Sprintf("broken invariant %q: %s", b.Name, b.Detail) }

// Violated panics with a *Broken. format and args make up its Detail.
func Violated(name, format string, args ...any) {
	panic(&Broken{Name: name, Detail: fmt.Sprintf(format, args...)})
}
