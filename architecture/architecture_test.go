package architecture

import (
	"bytes"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// root is the root directory of the repository.
	root       = ".."
	modulePath = "github.com/dottereltiller/dottereltiller/"
	corePath   = modulePath + "core/"
	// maxLines is the maximum number of lines of a Go file.
	maxLines = 400
)

// sourceFile is one Go file of the workspace.
type sourceFile struct {
	path string
	// pkg is the slash-separated path of the file's directory, relative to root.
	pkg    string
	isTest bool
	// imports holds the import paths.
	imports []string
	// lineCount is the number of lines.
	lineCount int
}

// sourceFiles returns all Go files of the workspace except those below directories named proto,
// which hold generated code, and those below hidden directories.
func sourceFiles(t *testing.T) []sourceFile {
	t.Helper()
	var out []sourceFile
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.Contains(path, "/proto/") {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, data, parser.ImportsOnly)
		if err != nil {
			return err
		}
		s := sourceFile{path: path, isTest: strings.HasSuffix(path, "_test.go"), lineCount: bytes.Count(data, []byte("\n"))}
		s.pkg = strings.TrimPrefix(filepath.ToSlash(filepath.Dir(path)), root+"/")
		for _, spec := range f.Imports {
			importPath, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			s.imports = append(s.imports, importPath)
		}
		out = append(out, s)
		return nil
	})
	require.NoError(t, err)
	require.NotEmpty(t, out)
	return out
}

// TestCoreImportsOnlyAllowedPackages checks that the packages of core import only each other,
// xxhash and the standard library. It also checks that they do not import net, net/http, os, sync
// and context: core must not do I/O or start goroutines. Tests of core may import anything.
func TestCoreImportsOnlyAllowedPackages(t *testing.T) {
	for _, s := range sourceFiles(t) {
		if s.isTest || !strings.HasPrefix(s.pkg, "core/") {
			continue
		}
		for _, imported := range s.imports {
			allowed := isStandard(imported) || strings.HasPrefix(imported, corePath) || imported == "github.com/cespare/xxhash/v2"
			require.True(t, allowed, "%s imports %s", s.path, imported)
			banned := imported == "net" || imported == "net/http" || imported == "os" || imported == "sync" || imported == "context"
			require.False(t, banned, "%s imports %s: core must not do I/O or start goroutines", s.path, imported)
		}
	}
}

// forbiddenImports holds, for each package, the packages that it must not import. Both are paths
// relative to root. These rules keep the components of the daemon independent of each other.
var forbiddenImports = map[string][]string{
	"wire":          {"entry", "guard", "owner", "daemon", "membership", "configuration", "peer"},
	"hop":           {"entry", "guard", "owner", "daemon", "membership", "configuration", "peer", "wire"},
	"sidecar":       {"platform", "daemon", "entry", "guard", "owner", "membership", "configuration", "peer", "recordlog"},
	"decision":      {"sidecar", "platform"},
	"platform":      {"daemon", "entry", "guard", "owner", "membership", "configuration", "peer", "recordlog"},
	"recordlog":     {"entry", "guard", "owner", "daemon", "membership", "configuration", "peer"},
	"guard":         {"entry", "owner", "daemon", "configuration", "peer"},
	"entry":         {"guard", "daemon", "membership", "peer"},
	"owner":         {"guard", "entry", "daemon", "membership"},
	"peer":          {"entry", "guard", "owner", "daemon"},
	"membership":    {"entry", "guard", "owner", "daemon", "configuration"},
	"configuration": {"entry", "guard", "owner", "daemon", "membership"},
}

// TestComponentsDoNotImportEachOther checks forbiddenImports. Only package daemon imports
// all components and connects them through interfaces.
func TestComponentsDoNotImportEachOther(t *testing.T) {
	for _, s := range sourceFiles(t) {
		if s.isTest {
			continue
		}
		for _, pkg := range forbiddenImports[s.pkg] {
			require.NotContains(t, s.imports, modulePath+pkg, s.path)
		}
	}
}

// TestNoFileExceedsMaxLines checks that no file is longer than maxLines.
func TestNoFileExceedsMaxLines(t *testing.T) {
	for _, s := range sourceFiles(t) {
		require.LessOrEqual(t, s.lineCount, maxLines, s.path)
	}
}

// TestNoStandardLibraryProxy checks that no file uses the reverse proxy of the standard
// library.
func TestNoStandardLibraryProxy(t *testing.T) {
	for _, s := range sourceFiles(t) {
		require.NotContains(t, s.imports, "net/http/httputil", s.path)
	}
}

// isStandard reports whether an import path belongs to the standard library: the first
// element of any other path contains a dot.
func isStandard(path string) bool {
	firstElement, _, _ := strings.Cut(path, "/")
	return !strings.Contains(firstElement, ".")
}

// platformNames are names of headers, fields and paths that the users' platform defines.
var platformNames = []string{
	"X-Attempt-Id", "X-Deadline-Ms", "X-Caller-Service", "X-Expect-Instance", "X-Not-Executed", "X-Instance-Id",
	"X-Server-Load", "X-Response-Seal", "/-/", "log-append", "log-newest", "log-read", "heartbeat-addr",
	"cold-remaining-ms", "path-prefix", "traffic-split", "target-latency-ms", "max-attempts", "internal-ports",
	"app-addr", "retry-budget-ratio", "keyed.", "DOTTERELTILLER_NODE_FILE",
}

// TestPlatformNamesOnlyInPlatformPackage checks that names of the users' platform occur only
// in package platform, which translates them. Only the daemon's command may import package
// platform.
func TestPlatformNamesOnlyInPlatformPackage(t *testing.T) {
	for _, s := range sourceFiles(t) {
		if s.pkg == "platform" || s.pkg == "platform/platformtest" || s.pkg == "architecture" {
			continue
		}
		if s.pkg != "cmd/dottereltillerd" {
			require.NotContains(t, s.imports, modulePath+"platform", s.path)
		}
		data, err := os.ReadFile(s.path)
		require.NoError(t, err)
		for _, name := range platformNames {
			require.NotContains(t, string(data), name, s.path)
		}
	}
}
