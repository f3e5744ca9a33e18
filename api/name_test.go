package api_test

import (
	"reflect"
	"regexp"
	"testing"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/api"
)

// TestValidNameMatchesTheFieldPatterns checks that ValidName and the patterns of the OpenAPI
// document agree, except that the fields may be empty.
func TestValidNameMatchesTheFieldPatterns(t *testing.T) {
	program, _ := reflect.TypeFor[api.ProgramRequest]().FieldByName("ID")
	branch, _ := reflect.TypeFor[api.CallRequest]().FieldByName("Branch")
	if program.Tag.Get("pattern") != branch.Tag.Get("pattern") {
		t.Fatal("the patterns of ProgramRequest.ID and CallRequest.Branch differ")
	}
	pattern := regexp.MustCompile(program.Tag.Get("pattern"))
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.OneOf(rapid.StringMatching(`[A-Za-z0-9._:-]{0,70}`), rapid.String()).Draw(t, "name")
		wanted := name != "" && len(name) <= api.MaxNameLength && pattern.MatchString(name)
		if api.ValidName(name) != wanted {
			t.Fatalf("ValidName(%q) = %t", name, !wanted)
		}
	})
}

func TestEveryCodeHasATitleAndAStatus(t *testing.T) {
	for _, code := range api.Codes() {
		problem := api.NewProblem(code, "detail")
		if problem.Title == "" || problem.Status < 400 || problem.Code != code {
			t.Errorf("%+v", problem)
		}
	}
}
