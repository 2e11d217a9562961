package configuration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

func TestParseSettings(t *testing.T) {
	const blanks = " \n\t"
	objective, weight, late, zero := int64(2500), 3.5, 0.25, 0.0
	cases := map[string]Settings{
		`{}`:                    {},
		blanks + `{ }` + blanks: {},
		`{"tenants":[]}`:        {Tenants: []Tenant{}},
		`{"classes":[]}`:        {Classes: []Class{}},
		`{"tenants":[{"name":"a","quota-per-s":10},{"quota-per-s":2.5e1,"name":"b"},{"name":"c"}]}`: {Tenants: []Tenant{{"a", 10}, {"b", 25}, {"c", 0}}},
		`{"classes":[{"name":"call","aim-us":2500,"worth":3.5,"late-worth":0.25},{"name":"x"}]}`:    {Classes: []Class{{"call", &objective, &weight, &late}, {Name: "x"}}},
		`{"classes":[{"name":"x","worth":0}],"tenants":[]}`:                                         {Classes: []Class{{Name: "x", PriorityWeight: &zero}}, Tenants: []Tenant{}},
		`{"tenants":[{"\u006eame":"a"}]}`:                                                           {Tenants: []Tenant{{"a", 0}}},
	}
	for text, wanted := range cases {
		got, err := ParseSettings([]byte(text))
		if err != nil || !reflect.DeepEqual(got, wanted) {
			t.Errorf("%s: found %+v, %v, wanted %+v", text, got, err, wanted)
		}
	}
}

func TestParseSettingsRejects(t *testing.T) {
	tenants := func(entry string) string { return `{"tenants":[{"name":"a"},` + entry + `]}` }
	classes := func(entry string) string { return `{"classes":[` + entry + `]}` }
	manyOf := func(list string, count int) string {
		var entries []string
		for i := range count {
			entries = append(entries, fmt.Sprintf(`{"name":"n%d"}`, i))
		}
		return fmt.Sprintf(`{%q:[%s]}`, list, strings.Join(entries, ","))
	}
	cases := []struct {
		name, text string
		parts      []string
	}{
		{"nothing", ``, []string{"settings:", `found ""`, "JSON object"}},
		{"no JSON", `{"tenants":`, []string{"settings:", "JSON object"}},
		{"text after it", `{} {}`, []string{"settings:", "nothing after it"}},
		{"a letter after it", `{}x`, []string{"settings:", "nothing after it"}},
		{"null", `null`, []string{"settings:", `"null"`, "JSON object"}},
		{"a list", `[]`, []string{"settings:", "JSON object"}},
		{"a string", `"{}"`, []string{"settings:", "JSON object"}},
		{"NaN", tenants(`{"name":"b","quota-per-s":NaN}`), []string{"settings:", "JSON object"}},
		{"an unknown key", `{"colour":1}`, []string{"colour:", "unknown key", `"tenants" "classes"`}},
		{"an empty key", `{"":1}`, []string{`"":`, "unknown key"}},
		{"a key of two lines", `{"a\nb":1}`, []string{`"a\nb":`, "unknown key"}},
		{"a long key", `{"` + strings.Repeat("k", 5000) + `":1}`, []string{"unknown key"}},
		{"a key of another case", `{"Tenants":[]}`, []string{"Tenants:", "unknown key"}},
		{"a key that folds to another", `{"claſses":[]}`, []string{"unknown key"}},
		{"a key that needs a restart", `{"limits":{}}`, []string{"limits:", "at a restart only", "rolling restart"}},
		{"a class's key that needs a restart", classes(`{"name":"a","deadline-us":5}`), []string{"classes[0].deadline-us:", "at a restart only", "rolling restart"}},
		{"a restart key of a tenant", tenants(`{"name":"b","limits":5}`), []string{"tenants[1].limits:", "unknown key"}},
		{"a key twice", `{"tenants":[],"tenants":[{"name":"a"}]}`, []string{"tenants:", "key twice", "once"}},
		{"a key twice by an escape", `{"tenants":[],"t\u0065nants":[]}`, []string{"tenants:", "key twice"}},
		{"a tenant's key twice", tenants(`{"name":"b","name":"c"}`), []string{"tenants[1].name:", "key twice"}},
		{"a class's key twice", classes(`{"name":"b","worth":1,"worth":2}`), []string{"classes[0].worth:", "key twice"}},
		{"tenants of null", `{"tenants":null}`, []string{"tenants:", `"null"`, "list of objects"}},
		{"tenants of an object", `{"tenants":{}}`, []string{"tenants:", "list of objects"}},
		{"a tenant of null", tenants(`null`), []string{"tenants[1]:", `"null"`, "JSON object"}},
		{"a tenant of text", tenants(`"b"`), []string{"tenants[1]:", "JSON object"}},
		{"a tenant's unknown key", tenants(`{"name":"b","share":1}`), []string{"tenants[1].share:", "unknown key", "quota-per-s"}},
		{"a tenant's key of another case", tenants(`{"Name":"b"}`), []string{"tenants[1].Name:", "unknown key"}},
		{"no name", tenants(`{}`), []string{"tenants[1].name:", `found ""`, "wanted 1 to 64"}},
		{"a name of null", tenants(`{"name":null}`), []string{"tenants[1].name:", `"null"`, "string"}},
		{"a name of a number", tenants(`{"name":7}`), []string{"tenants[1].name:", `"7"`, "string"}},
		{"a name with a blank", tenants(`{"name":"b c"}`), []string{"tenants[1].name:", `"b c"`, "without blanks"}},
		{"a long name", tenants(`{"name":"` + strings.Repeat("n", 65) + `"}`), []string{"tenants[1].name:", "wanted 1 to 64"}},
		{"a name twice", tenants(`{"name":"a"}`), []string{"tenants[1].name:", `"a" twice`, "once"}},
		{"a quota below zero", tenants(`{"name":"b","quota-per-s":-0.5}`), []string{"tenants[1].quota-per-s:", `"-0.5"`, "0 to 1e+09"}},
		{"a quota above its limit", tenants(`{"name":"b","quota-per-s":1e10}`), []string{"tenants[1].quota-per-s:", `"1e10"`, "0 to 1e+09"}},
		{"a quota that overflows", tenants(`{"name":"b","quota-per-s":1e999}`), []string{"tenants[1].quota-per-s:", `"1e999"`, "0 to 1e+09"}},
		{"a quota of text", tenants(`{"name":"b","quota-per-s":"1"}`), []string{"tenants[1].quota-per-s:", "number"}},
		{"a quota of null", tenants(`{"name":"b","quota-per-s":null}`), []string{"tenants[1].quota-per-s:", `"null"`, "number"}},
		{"a quota of true", tenants(`{"name":"b","quota-per-s":true}`), []string{"tenants[1].quota-per-s:", "number"}},
		{"an objective below zero", classes(`{"name":"a","aim-us":-1}`), []string{"classes[0].aim-us:", `"-1"`, "0 to 600000000"}},
		{"an objective above its limit", classes(`{"name":"a","aim-us":600000001}`), []string{"classes[0].aim-us:", "0 to 600000000"}},
		{"an objective with a fraction", classes(`{"name":"a","aim-us":1.5}`), []string{"classes[0].aim-us:", `"1.5"`, "whole number"}},
		{"an objective that overflows", classes(`{"name":"a","aim-us":99999999999999999999}`), []string{"classes[0].aim-us:", "whole number"}},
		{"an objective of null", classes(`{"name":"a","aim-us":null}`), []string{"classes[0].aim-us:", `"null"`, "whole number"}},
		{"a weight below zero", classes(`{"name":"a","worth":-3}`), []string{"classes[0].worth:", `"-3"`, "0 to 1e+09"}},
		{"a late weight above one", classes(`{"name":"a","late-worth":1.01}`), []string{"classes[0].late-worth:", `"1.01"`, "0 to 1"}},
		{"a class's name twice", classes(`{"name":"a"},{"name":"a"}`), []string{"classes[1].name:", `"a" twice`}},
		{"too many tenants", manyOf("tenants", MaxTenants+1), []string{"tenants:", "found 129, wanted 128"}},
		{"too many classes", manyOf("classes", MaxClasses+1), []string{"classes:", "found 33, wanted 32"}},
		{"too many bytes", `{}` + strings.Repeat(" ", MaxSettingsBytes), []string{"settings:", "found 8194 bytes, wanted 8192"}},
		{"too many bytes once sent", tenants(`{"name":"` + strings.Repeat("<", 60) + `"}` + strings.Repeat(`,{"name":"`+strings.Repeat("<", 60)+`"}`, 30)),
			[]string{"settings:", "bytes as they are sent", "wanted 8192"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			settings, err := ParseSettings([]byte(c.text))
			wantOneLine(t, err, append(c.parts, "found", "wanted")...)
			if settings.Tenants != nil || settings.Classes != nil {
				t.Errorf("found %+v with the error, wanted nothing", settings)
			}
		})
	}
}

// FuzzParseSettings: whatever is accepted is read the same by a sidecar, from the form
// in which it is stored and sent, and keeps its bounds; a refusal is one line.
func FuzzParseSettings(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"tenants":[{"name":"a","quota-per-s":1e3}],"classes":[{"name":"c","aim-us":5,"worth":1,"late-worth":0.5}]}`,
		`{"tenants":[],"tenants":[]}`, `{"Tenants":null}`, `{"limits":1}`, ` {"classes" : [ {"name":"<&>","worth":-0} ] } `, `{"a\u2028b":"\ud800"}`, `{"classes":[]}`, `{"tenants":[]}`, `{}{}`, `[[[[`, "\xff", "{\"\xff\":null}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := ParseSettings(text)
		if err != nil {
			if !isLine(err.Error()) {
				t.Fatalf("found %q, wanted one short line", err)
			}
			return
		}
		if len(settings.Tenants) > MaxTenants || len(settings.Classes) > MaxClasses {
			t.Fatalf("found %d tenants and %d classes", len(settings.Tenants), len(settings.Classes))
		}
		for _, tenant := range settings.Tenants {
			if ValidateName("name", tenant.Name) != nil || !(tenant.Quota >= 0 && tenant.Quota <= MaxQuota) {
				t.Fatalf("found %+v", tenant)
			}
		}
		var sent Resource
		if err := json.Unmarshal(mustMarshal(t, Resource{Service: "a", Version: 1, Settings: text}), &sent); err != nil {
			t.Fatal(err)
		}
		if got, err := ParseSettings(sent.Settings); err != nil || !reflect.DeepEqual(got, settings) {
			t.Fatalf("found %+v, %v at the sidecar, wanted %+v", got, err, settings)
		}
		if got, err := ParseSettings(mustMarshal(t, settings)); err != nil && !strings.Contains(err.Error(), "bytes") || err == nil && !reflect.DeepEqual(got, settings) {
			t.Fatalf("found %+v, %v after a second writing, wanted %+v", got, err, settings)
		}
	})
}
