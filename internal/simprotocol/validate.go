package simprotocol

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/valyala/fastjson"
)

// Validate returns an error for the first start-up parameter of which a sidecar must not
// guess the value, as a wrong guess could execute a request twice: with its key, what was
// found and what is wanted. ParseSettings ignores what it does not know, as the protocol
// demands.
func Validate(info *fastjson.Value) error {
	slack := info.GetInt64("rules", "grace-to-answer-us")
	for i, class := range info.GetArray("classes") {
		if key, found, wanted := invalidParameter(class, slack); key != "" {
			return fmt.Errorf("classes[%d] (%q): %s: found %v, wanted %s", i, text(class, "name"), key, found, wanted)
		}
	}
	return nil
}

// invalidParameter returns the key of a class's first invalid parameter, what was found and
// what is wanted; no key where all are valid. slack is rules.grace-to-answer-us.
func invalidParameter(class *fastjson.Value, slack int64) (key string, found any, wanted string) {
	effect, group := class.Get("effect"), class.Get("group")
	switch deadline := class.GetInt64("deadline-us"); {
	case effect == nil:
		return "effect", "nothing", choices(idempotencies)
	case !isName(idempotencies, effect):
		return "effect", effect, choices(idempotencies)
	case deadline <= slack:
		return "deadline-us", deadline, fmt.Sprintf("more than rules.grace-to-answer-us, %d", slack)
	}
	if text(class, "effect") != "guarded" {
		return "", nil, ""
	}
	switch window := class.GetInt64("window-us"); {
	case group == nil:
		return "group", "nothing", choices(dedupScopes)
	case !isName(dedupScopes, group) || text(class, "group") == "":
		return "group", group, choices(dedupScopes)
	case window <= 0:
		return "window-us", window, "more than 0: a class whose repeats nobody drops is single_shot"
	}
	return "", nil, ""
}

// isName reports whether a value is one of the names.
func isName[T any](names map[string]T, v *fastjson.Value) bool {
	name, err := v.StringBytes()
	_, ok := names[string(name)]
	return err == nil && ok
}

// choices lists the names.
func choices[T any](names map[string]T) string {
	sorted := slices.Sorted(maps.Keys(names))
	return "one of " + strings.Join(slices.DeleteFunc(sorted, func(name string) bool { return name == "" }), ", ")
}
