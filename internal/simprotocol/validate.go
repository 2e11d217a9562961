package simprotocol

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/valyala/fastjson"
)

// Validate checks the start-up parameters for which a sidecar must not assume a default. A
// wrong default could cause a request to be executed twice. The error names the first invalid
// parameter, the value found and the value wanted. ParseSettings accepts invalid values, as
// the protocol requires.
func Validate(info *fastjson.Value) error {
	graceTime := info.GetInt64("rules", "grace-to-answer-us")
	for i, class := range info.GetArray("classes") {
		if key, found, wanted := invalidParameter(class, graceTime); key != "" {
			return fmt.Errorf("classes[%d] (%q): %s: found %v, wanted %s", i, stringField(class, "name"), key, found, wanted)
		}
	}
	return nil
}

// invalidParameter returns the key of the first invalid parameter of a class, the value
// found and the value wanted, or an empty key if all are valid. graceTime is
// the parameter "rules.grace-to-answer-us", in microseconds.
func invalidParameter(class *fastjson.Value, graceTime int64) (key string, found any, wanted string) {
	effect, group := class.Get("effect"), class.Get("group")
	switch deadline := class.GetInt64("deadline-us"); {
	case effect == nil:
		return "effect", "nothing", formatChoices(idempotencies)
	case !isName(idempotencies, effect):
		return "effect", effect, formatChoices(idempotencies)
	case deadline <= graceTime:
		return "deadline-us", deadline, fmt.Sprintf("more than rules.grace-to-answer-us, %d", graceTime)
	}
	if stringField(class, "effect") != "guarded" {
		return "", nil, ""
	}
	switch window := class.GetInt64("window-us"); {
	case group == nil:
		return "group", "nothing", formatChoices(dedupScopes)
	case !isName(dedupScopes, group) || stringField(class, "group") == "":
		return "group", group, formatChoices(dedupScopes)
	case window <= 0:
		return "window-us", window, "more than 0; without deduplication of retries the class is single_shot"
	}
	return "", nil, ""
}

// isName reports whether a value is a string and a key of names.
func isName[T any](names map[string]T, v *fastjson.Value) bool {
	name, err := v.StringBytes()
	_, ok := names[string(name)]
	return err == nil && ok
}

// formatChoices lists the names that are not empty, sorted.
func formatChoices[T any](names map[string]T) string {
	sorted := slices.Sorted(maps.Keys(names))
	return "one of " + strings.Join(slices.DeleteFunc(sorted, func(name string) bool { return name == "" }), ", ")
}
