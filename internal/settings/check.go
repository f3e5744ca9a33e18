package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"stepseam.example/stepseam/internal/suggest"
)

// check validates complete settings and returns the findings. It skips fields that could
// not be read, since these have a finding already.
func check(settings Settings, reader *reader) []Finding {
	var findings []Finding
	add := func(field, message string) {
		if !reader.invalid[field] {
			findings = append(findings, Finding{Place: reader.place(field), Field: field, Message: message})
		}
	}
	checkFields(settings, add)
	checkAddresses(settings, add)
	checkConsistency(settings, add)
	return findings
}

func checkFields(settings any, add func(field, message string)) {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("yaml") })
	checker.RegisterCustomTypeFunc(func(value reflect.Value) any {
		if address, ok := value.Interface().(netip.AddrPort); ok && address.IsValid() {
			return address.String()
		}
		return ""
	}, netip.AddrPort{})
	var invalid validator.ValidationErrors
	if !errors.As(checker.Struct(settings), &invalid) {
		return
	}
	for _, failure := range invalid {
		_, field, _ := strings.Cut(failure.Namespace(), ".")
		add(field, describe(failure))
	}
}

func describe(failure validator.FieldError) string {
	switch failure.Tag() {
	case "required":
		return "missing"
	case "min":
		return fmt.Sprintf("is %v, at least %s is needed", failure.Value(), failure.Param())
	case "max":
		return fmt.Sprintf("is %v, at most %s is allowed", failure.Value(), failure.Param())
	case "oneof":
		return fmt.Sprintf("is %q, want one of: %s", failure.Value(), strings.ReplaceAll(failure.Param(), " ", ", "))
	case "hostname_rfc1123":
		return fmt.Sprintf("is %q, want letters, digits, dots and dashes", failure.Value())
	}
	return fmt.Sprintf("is %v, which breaks the rule %s", failure.Value(), failure.Tag())
}

// checkAddresses reports addresses that other machines can't dial, and duplicates.
func checkAddresses(settings Settings, add func(field, message string)) {
	listeners := []struct {
		field     string
		transport string
		address   netip.AddrPort
	}{
		{"addresses.callers", "TCP", settings.Addresses.Callers},
		{"addresses.operators", "TCP", settings.Addresses.Operators},
		{"addresses.peer", "TCP", settings.Addresses.Peer},
		{"addresses.probe", "UDP", settings.Addresses.Probe},
	}
	seen := map[string]string{}
	for _, listener := range listeners {
		if !listener.address.IsValid() {
			continue
		}
		if listener.address.Addr().IsUnspecified() {
			add(listener.field, "is "+listener.address.String()+", want the IP number that others dial")
		}
		if listener.address.Port() == 0 {
			add(listener.field, "has port 0, want a fixed port")
			continue
		}
		key := listener.transport + listener.address.String()
		if other, taken := seen[key]; taken {
			add(listener.field, "is the same as "+other)
		}
		seen[key] = listener.field
	}
	for i, seed := range settings.Seeds {
		if seed.IsValid() && (seed.Addr().IsUnspecified() || seed.Port() == 0) {
			add(fmt.Sprintf("seeds[%d]", i), "is "+seed.String()+", want another node's probe address")
		}
	}
}

// checkConsistency finds fields that do not fit together.
func checkConsistency(settings Settings, add func(field, message string)) {
	const renewalsPerLease = 3
	if settings.Shards.LeaseRenewal*renewalsPerLease > settings.Shards.LeaseDuration {
		add("shards.lease_renewal", fmt.Sprintf("is %s, at most a third of shards.lease_duration (%s) is allowed",
			settings.Shards.LeaseRenewal, settings.Shards.LeaseDuration))
	}
}

func suggestion(key string, known []string) string {
	if nearest := suggest.Nearest(key, known); nearest != "" {
		return "; did you mean " + nearest + "?"
	}
	return ""
}
