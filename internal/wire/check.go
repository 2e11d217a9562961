package wire

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/valyala/fastjson"
)

// Check tells the first thing in the start-up parameters that a sidecar must not guess
// at: the key, what was found and what is wanted. Settings passes over what it does
// not know, as the wire asks for; here a wrong guess would run a request twice.
func Check(v *fastjson.Value) error {
	slack := v.GetInt64("rules", "grace-to-answer-us")
	for i, c := range v.GetArray("classes") {
		name := text(c, "name")
		bad := func(key string, found any, wanted string) error {
			return fmt.Errorf("classes[%d] (%q): %s: found %v, wanted %s", i, name, key, found, wanted)
		}
		effect, group := c.Get("effect"), c.Get("group")
		switch deadline := c.GetInt64("deadline-us"); {
		case effect == nil:
			return bad("effect", "nothing", oneOf(effects))
		case !isWord(effects, effect):
			return bad("effect", effect, oneOf(effects))
		case deadline <= slack:
			return bad("deadline-us", deadline, fmt.Sprintf("more than rules.grace-to-answer-us, %d", slack))
		}
		if text(c, "effect") != "guarded" {
			continue
		}
		switch window := c.GetInt64("window-us"); {
		case group == nil:
			return bad("group", "nothing", oneOf(groups))
		case !isWord(groups, group) || text(c, "group") == "":
			return bad("group", group, oneOf(groups))
		case window <= 0:
			return bad("window-us", window, "more than 0: a class whose repeats nobody drops is single_shot")
		}
	}
	return nil
}

// isWord tells whether a value is one of the words.
func isWord[T any](words map[string]T, v *fastjson.Value) bool {
	s, err := v.StringBytes()
	_, ok := words[string(s)]
	return err == nil && ok
}

// oneOf lists the words.
func oneOf[T any](words map[string]T) string {
	names := slices.Sorted(maps.Keys(words))
	return "one of " + strings.Join(slices.DeleteFunc(names, func(s string) bool { return s == "" }), ", ")
}
