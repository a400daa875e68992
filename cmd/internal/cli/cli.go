// Package cli contains the command-line parsing shared by dottereltiller and
// dottereltillerd.
package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/dottereltiller/dottereltiller/exitcode"
)

// MustParse parses the command line into dest. For --help and --version it prints to standard
// output and exits with code 0. Usage errors are printed to standard error, and the exit code
// is exitcode.Usage.
func MustParse(program string, dest any) *arg.Parser {
	p, err := arg.NewParser(arg.Config{Program: program, Out: os.Stderr}, dest)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitcode.Usage)
	}
	err = p.Parse(os.Args[1:])
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(os.Stdout, p.SubcommandNames()...)
		os.Exit(0)
	case errors.Is(err, arg.ErrVersion):
		if versioned, ok := dest.(arg.Versioned); ok {
			fmt.Println(versioned.Version())
		}
		os.Exit(0)
	case err != nil:
		_ = p.FailSubcommand(err.Error(), p.SubcommandNames()...)
	}
	return p
}
