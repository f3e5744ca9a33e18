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

// check returns what is wrong with whole settings. Fields that could not be
// read have their finding already and are left out.
func check(settings Settings, reader *reader) []Finding {
	var findings []Finding
	add := func(field, message string) {
		if !reader.faulty[field] {
			findings = append(findings, Finding{Place: reader.place(field), Field: field, Message: message})
		}
	}
	checkFields(settings, add)
	checkAddresses(settings, add)
	checkRelations(settings, add)
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
	var faults validator.ValidationErrors
	if !errors.As(checker.Struct(settings), &faults) {
		return
	}
	for _, fault := range faults {
		_, field, _ := strings.Cut(fault.Namespace(), ".")
		add(field, describe(fault))
	}
}

func describe(fault validator.FieldError) string {
	switch fault.Tag() {
	case "required":
		return "missing"
	case "min":
		return fmt.Sprintf("is %v, at least %s is needed", fault.Value(), fault.Param())
	case "max":
		return fmt.Sprintf("is %v, at most %s is allowed", fault.Value(), fault.Param())
	case "oneof":
		return fmt.Sprintf("is %q, want one of: %s", fault.Value(), strings.ReplaceAll(fault.Param(), " ", ", "))
	case "hostname_rfc1123":
		return fmt.Sprintf("is %q, want letters, digits, dots and dashes", fault.Value())
	}
	return fmt.Sprintf("is %v, which breaks the rule %s", fault.Value(), fault.Tag())
}

// checkAddresses finds addresses that other machines could not dial and
// addresses that clash.
func checkAddresses(settings Settings, add func(field, message string)) {
	own := []struct {
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
	for _, one := range own {
		if !one.address.IsValid() {
			continue
		}
		if one.address.Addr().IsUnspecified() {
			add(one.field, "is "+one.address.String()+", want the IP number that others dial")
		}
		if one.address.Port() == 0 {
			add(one.field, "has port 0, want a fixed port")
			continue
		}
		key := one.transport + one.address.String()
		if other, taken := seen[key]; taken {
			add(one.field, "is the same as "+other)
		}
		seen[key] = one.field
	}
	for i, seed := range settings.Seeds {
		if seed.IsValid() && (seed.Addr().IsUnspecified() || seed.Port() == 0) {
			add(fmt.Sprintf("seeds[%d]", i), "is "+seed.String()+", want another node's probe address")
		}
	}
}

// checkRelations finds fields that do not fit together.
func checkRelations(settings Settings, add func(field, message string)) {
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
