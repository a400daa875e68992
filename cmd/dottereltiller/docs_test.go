package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/alexflint/go-arg"
	"github.com/stretchr/testify/require"
)

const repositoryRoot = "../.."

// commandLine matches a line that calls the dottereltiller command, and captures the arguments.
var commandLine = regexp.MustCompile(`^\s*(?:\$ )?(?:go run \./cmd/dottereltiller|dottereltiller) (.*)$`)

// commandsInPages returns the calls of the command in each Markdown page of the repository, by the
// path of the page. See commandsInPage.
func commandsInPages(t *testing.T) map[string][]string {
	t.Helper()
	commands := make(map[string][]string)
	err := filepath.WalkDir(repositoryRoot, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		commands[path] = commandsInPage(string(data))
		return nil
	})
	require.NoError(t, err)
	return commands
}

// commandsInPage returns the calls of the command in the fenced code blocks of a page. Each element
// holds the arguments of one call as one string.
func commandsInPage(page string) []string {
	var out []string
	fenced := false
	page = strings.ReplaceAll(page, "\\\n", " ")
	for line := range strings.SplitSeq(page, "\n") {
		if strings.HasPrefix(strings.TrimSpace(line), "```") {
			fenced = !fenced
			continue
		}
		if m := commandLine.FindStringSubmatch(line); fenced && m != nil {
			out = append(out, m[1])
		}
	}
	return out
}

// splitArguments splits a command line into its arguments. It stops before the first comment, pipe,
// redirection, & or &&.
func splitArguments(line string) []string {
	var out []string
	for _, f := range strings.Fields(line) {
		if strings.HasPrefix(f, "#") || f == "|" || f == "&" || f == "&&" || strings.HasPrefix(f, ">") || strings.HasPrefix(f, "2>") {
			break
		}
		out = append(out, strings.Trim(f, `"'`))
	}
	return out
}

// TestDocumentedCommandsParse checks that the commands in the documentation use existing
// subcommands and flags.
func TestDocumentedCommandsParse(t *testing.T) {
	commandCount := 0
	for page, lines := range commandsInPages(t) {
		for _, line := range lines {
			commandCount++
			var a args
			p, err := arg.NewParser(arg.Config{Program: "dottereltiller"}, &a)
			require.NoError(t, err)
			err = p.Parse(splitArguments(line))
			if err == arg.ErrHelp || err == arg.ErrVersion {
				continue
			}
			require.NoError(t, err, "%s: dottereltiller %s", page, line)
		}
	}
	require.Positive(t, commandCount)
}

// TestDocumentedFilesExist checks that the commands in the documentation use only existing files
// under testdata/ and examples/.
func TestDocumentedFilesExist(t *testing.T) {
	for page, lines := range commandsInPages(t) {
		for _, line := range lines {
			for _, a := range splitArguments(line) {
				if strings.HasPrefix(a, "testdata/") || strings.HasPrefix(a, "examples/") {
					require.FileExists(t, filepath.Join(repositoryRoot, a), "%s: dottereltiller %s", page, line)
				}
			}
		}
	}
}
