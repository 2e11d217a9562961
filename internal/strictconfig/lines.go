package strictconfig

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps each key of a file, with its tables (drain.finish, fault[2].kind), to its
// line.
type Lines map[string]int

// lineIndex collects the lines of keys.
type lineIndex struct {
	parser unstable.Parser
	lines  Lines
	tables map[string]int // tables of each array so far
}

// linesOf maps every key, and every table, to the line of its first mention.
func linesOf(text []byte) Lines {
	index := &lineIndex{lines: Lines{}, tables: map[string]int{}}
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
			index.tables[array]++
			table = entryPath(array, index.tables[array])
			index.add(table, lastNode)
		case unstable.KeyValue:
			index.addInline(index.addKey(table, parts, lastNode), expression.Value())
		}
	}
	return index.lines
}

// keyParts returns the parts of an expression's dotted key, and the node of the last.
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

// addKey adds a dotted key in a table, and the tables that it implies. It returns the
// key's path.
func (x *lineIndex) addKey(path string, parts []string, node *unstable.Node) string {
	for _, part := range parts {
		path = join(path, part)
		x.add(path, node)
	}
	return path
}

// addInline adds the keys of inline tables, and of those in arrays.
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

// tablePath joins a table's name; a part that is an array stands for its latest table.
func (x *lineIndex) tablePath(parts []string) string {
	path := ""
	for i, part := range parts {
		path = join(path, part)
		if n := x.tables[path]; n > 0 && i < len(parts)-1 {
			path = entryPath(path, n)
		}
	}
	return path
}

// entryPath is the path of an array's entry, counted from 1.
func entryPath(array string, entry int) string { return fmt.Sprintf("%s[%d]", array, entry) }

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
