package balance

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// exactFunctions are the functions and constants of package math whose values are the same on
// every machine, because they are exact or, as Sqrt, correctly rounded.
var exactFunctions = map[string]bool{
	"Abs": true, "Ceil": true, "Floor": true, "Frexp": true, "Inf": true, "IsInf": true, "IsNaN": true, "Ldexp": true, "Log2E": true,
	"MaxFloat64": true, "MaxInt": true, "MaxInt64": true, "Modf": true, "NaN": true, "Sqrt": true, "Sqrt2": true, "Trunc": true,
}

// inexactUses returns the uses of package math in a file that are not in exactFunctions.
func inexactUses(file *ast.File) []string {
	var uses []string
	ast.Inspect(file, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if name, ok := selector.X.(*ast.Ident); ok && name.Name == "math" && !exactFunctions[selector.Sel.Name] {
			uses = append(uses, "math."+selector.Sel.Name)
		}
		return true
	})
	return uses
}

// Guards against decisions that depend on the kind of machine: functions of package math with
// an assembly form round differently.
func TestOnlyExactFunctionsOfMath(t *testing.T) {
	for _, pattern := range []string{"*.go", "portablemath/*.go"} {
		paths, err := filepath.Glob(pattern)
		if err != nil || len(paths) == 0 {
			t.Fatalf("found no sources by %s: %v", pattern, err)
		}
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, use := range inexactUses(file) {
				t.Errorf("%s uses %s, whose last bits depend on the machine: use package portablemath", path, use)
			}
		}
	}
}

func TestInexactUsesAreFound(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "", "package p; var x = math.Exp2(1) + math.Floor(2)", 0)
	if err != nil {
		t.Fatal(err)
	}
	if uses := inexactUses(file); len(uses) != 1 || uses[0] != "math.Exp2" {
		t.Errorf("found %v, want math.Exp2", uses)
	}
}

// fusedInstruction matches an instruction of arm64 that multiplies and adds with one rounding,
// in the compiler's listing, with the line of the source.
var fusedInstruction = regexp.MustCompile(`\(([^()]+\.go:\d+)\)\s+(FN?M(?:ADD|SUB)[SD])\b`)

// fusedOperations compiles packages for arm64 and returns the fused operations in them.
func fusedOperations(t *testing.T, packages ...string) []string {
	t.Helper()
	arguments := append([]string{"build", "-gcflags=-S", "-o", os.DevNull}, packages...)
	command := exec.Command("go", arguments...)
	// GOFLAGS may keep the compiler from fusing; users build without it.
	command.Env = append(os.Environ(), "GOFLAGS=-buildvcs=false", "GOOS=linux", "GOARCH=arm64", "CGO_ENABLED=0")
	listing, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %v: %.500s", command, err, listing)
	}
	if !strings.Contains(string(listing), "FMULD") {
		t.Fatalf("%v: found no multiplication in a listing of %d bytes", command, len(listing))
	}
	var found []string
	for _, match := range fusedInstruction.FindAllStringSubmatch(string(listing), -1) {
		found = append(found, match[2]+" in "+match[1])
	}
	return found
}

// Guards against decisions that depend on the kind of machine: without an explicit conversion
// of the product, the compiler for arm64 multiplies and adds with a single rounding.
func TestNoFusedOperations(t *testing.T) {
	for _, found := range fusedOperations(t, ".", "./portablemath") {
		t.Errorf("%s: convert the product with float64(...)", found)
	}
}

func TestFusedOperationsAreFound(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fused.go")
	text := "package fused\n\nfunc Sum(a, b, c float64) float64 { return a*b + c }\n\nfunc Product(a, b float64) float64 { return a * b }\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if found := fusedOperations(t, path); len(found) != 1 {
		t.Errorf("found %v, want one fused operation", found)
	}
}
