package forwarding

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// Fills every field of the messages by reflection, which detects a field that is missing
// from the codec, and decodes truncated encodings, which must fail.
func TestMessagesRoundTrip(t *testing.T) {
	registry := peer.NewRegistry()
	addMessages(registry)
	rapid.Check(t, func(t *rapid.T) {
		messages := []peer.Message{
			&callMessage{attemptHeader: attemptHeader{1}, program: "p", call: fill[api.CallRequest](t), from: 3, tokens: true},
			&fetchMessage{call: fill[identity.CallID](t), from: 4, tokens: true},
			&createMessage{attemptHeader: attemptHeader{2}, program: "p", tenant: "t", class: "c"},
			&programMessage{attemptHeader: attemptHeader{3}, program: "p", action: actionCancel},
			&tokenMessage{index: 5, text: "x"},
			&outcomeMessage{form: outcomeAnswer, answer: fill[api.Answer](t)},
			&outcomeMessage{form: outcomeProgram, program: fill[api.Program](t)},
			&outcomeMessage{form: outcomeNotOwner, notOwner: notOwner{accepted: true, hint: hint{node: fill[identity.Reference](t), epoch: 9}}},
		}
		problem := fill[api.Problem](t)
		problem.WithRetryAfter(problem.RetryAfter)
		messages = append(messages, &outcomeMessage{form: outcomeProblem, problem: &problem})
		for _, message := range messages {
			var encoder wire.Encoder
			message.Encode(&encoder)
			decoded, err := registry.Decode(message.Kind(), encoder.Bytes())
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(message, decoded) {
				t.Fatalf("sent %+v, got %+v", message, decoded)
			}
			for length := range encoder.Bytes() {
				if _, err := registry.Decode(message.Kind(), encoder.Bytes()[:length]); err == nil {
					t.Fatalf("kind %d decodes from %d of %d bytes", message.Kind(), length, len(encoder.Bytes()))
				}
			}
		}
	})
}

func fill[T any](t *rapid.T) T {
	var value T
	fillValue(t, reflect.ValueOf(&value).Elem())
	return value
}

// fillValue sets every field to a non-zero value.
func fillValue(t *rapid.T, value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		if value.Type() == reflect.TypeFor[time.Time]() {
			value.Set(reflect.ValueOf(time.Unix(0, rapid.Int64Range(1, 1<<60).Draw(t, "time"))))
			return
		}
		for i := range value.NumField() {
			fillValue(t, value.Field(i))
		}
	case reflect.String:
		value.SetString(rapid.StringN(1, 8, -1).Draw(t, "string"))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int64:
		value.SetInt(int64(rapid.IntRange(1, 1<<30).Draw(t, "int")))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(rapid.IntRange(1, 255).Draw(t, "uint")))
	case reflect.Float64:
		value.SetFloat(rapid.Float64Range(0.5, 10).Draw(t, "float"))
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		fillValue(t, value.Index(0))
		fillValue(t, value.Index(1))
	case reflect.Map:
		value.Set(reflect.ValueOf(map[string]uint64{"main": 1, "other": 2}))
	default:
		t.Fatalf("no filler for %s", value.Type())
	}
}
