// Package core_test checks the shape of the code: what core and node may use.
package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// coreForbiddenImports are the imports that would give core input, output,
// concurrency or randomness that is not seeded.
var coreForbiddenImports = []string{"net", "os", "io", "sync", "context", "syscall", "runtime", "math/rand", "crypto/rand", "log"}

// nodeForbiddenImports are the imports that would let tasks share state.
var nodeForbiddenImports = []string{"sync"}

// clockFunctions are the functions of package time that read or wait for a clock.
var clockFunctions = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true,
	"AfterFunc": true, "Tick": true, "NewTimer": true, "NewTicker": true,
}

// isProductionSource reports whether a file is written by hand and part of the product;
// the code that protoc generates locks its own tables.
func isProductionSource(path string) bool {
	return strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && !strings.HasSuffix(path, ".pb.go")
}

func visitSourceFiles(t *testing.T, dir string, visit func(path string, f *ast.File)) {
	t.Helper()
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() || !isProductionSource(path) {
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		visit(path, f)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func checkImports(t *testing.T, path string, f *ast.File, forbidden []string) {
	t.Helper()
	for _, spec := range f.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, prefix := range forbidden {
			if name == prefix || strings.HasPrefix(name, prefix+"/") {
				t.Errorf("%s imports %q", path, name)
			}
		}
	}
}

func TestCoreHasNoInputOrOutput(t *testing.T) {
	visitSourceFiles(t, ".", func(path string, f *ast.File) {
		checkImports(t, path, f, coreForbiddenImports)
		ast.Inspect(f, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.GoStmt, *ast.ChanType, *ast.SelectStmt, *ast.SendStmt:
				t.Errorf("%s uses goroutines or channels", path)
			case *ast.SelectorExpr:
				pkg, ok := n.X.(*ast.Ident)
				if ok && pkg.Name == "time" && clockFunctions[n.Sel.Name] {
					t.Errorf("%s calls time.%s", path, n.Sel.Name)
				}
			}
			return true
		})
	})
}

func TestNodeTasksShareNoState(t *testing.T) {
	visitSourceFiles(t, "../node", func(path string, f *ast.File) {
		checkImports(t, path, f, nodeForbiddenImports)
	})
}
