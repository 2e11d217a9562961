package strictconfig

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps the full path of each key and table of a file to its line number. Examples of
// paths are "drain.finish" and "fault[2].kind".
type Lines map[string]int

// lineIndex collects the line numbers of keys.
type lineIndex struct {
	parser      unstable.Parser
	lines       Lines
	tableCounts map[string]int // number of tables found so far in each array of tables, by path of the array
}

// indexLines maps every key and table to the line of its first occurrence.
func indexLines(text []byte) Lines {
	index := &lineIndex{lines: Lines{}, tableCounts: map[string]int{}}
	index.parser.Reset(text)
	table := ""
	for index.parser.NextExpression() {
		expression := index.parser.Expression()
		parts, lastNode := keyParts(expression)
		if lastNode == nil {
			continue
		}
		switch expression.Kind {
		case unstable.Table:
			table = index.tablePath(parts)
			index.add(table, lastNode)
		case unstable.ArrayTable:
			array := index.tablePath(parts)
			index.tableCounts[array]++
			table = entryPath(array, index.tableCounts[array])
			index.add(table, lastNode)
		case unstable.KeyValue:
			index.addInline(index.addKey(table, parts, lastNode), expression.Value())
		}
	}
	return index.lines
}

// keyParts returns the parts of the dotted key of an expression and the node of the last part.
func keyParts(expression *unstable.Node) (parts []string, lastNode *unstable.Node) {
	for iterator := expression.Key(); iterator.Next(); {
		lastNode = iterator.Node()
		parts = append(parts, string(lastNode.Data))
	}
	return parts, lastNode
}

func (x *lineIndex) add(path string, node *unstable.Node) {
	if _, found := x.lines[path]; !found {
		x.lines[path] = x.parser.Shape(node.Raw).Start.Line
	}
}

// addKey adds a dotted key below path and the tables that it implies. It returns the path
// of the key.
func (x *lineIndex) addKey(path string, parts []string, node *unstable.Node) string {
	for _, part := range parts {
		path = joinPath(path, part)
		x.add(path, node)
	}
	return path
}

// addInline adds the keys of the inline tables in a value, including tables within arrays.
func (x *lineIndex) addInline(path string, value *unstable.Node) {
	switch value.Kind {
	case unstable.InlineTable:
		for iterator := value.Children(); iterator.Next(); {
			keyValue := iterator.Node()
			keyPath := path
			for key := keyValue.Key(); key.Next(); {
				keyPath = x.addKey(keyPath, []string{string(key.Node().Data)}, key.Node())
			}
			x.addInline(keyPath, keyValue.Value())
		}
	case unstable.Array:
		entry := 0
		for iterator := value.Children(); iterator.Next(); {
			entry++
			x.addInline(entryPath(path, entry), iterator.Node())
		}
	}
}

// tablePath returns the path of a table header. As in TOML, a part that names an array of
// tables refers to the last table of the array.
func (x *lineIndex) tablePath(parts []string) string {
	path := ""
	for i, part := range parts {
		path = joinPath(path, part)
		if n := x.tableCounts[path]; n > 0 && i < len(parts)-1 {
			path = entryPath(path, n)
		}
	}
	return path
}

// entryPath returns the path of an array entry, counted from 1.
func entryPath(array string, entry int) string { return fmt.Sprintf("%s[%d]", array, entry) }

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
