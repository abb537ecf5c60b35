package qhsetting

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// maxNameLength limits the length of an id in settings, in bytes.
const maxNameLength = 64

// validate checks the validate tags of settings. In addition to the library's tags
// it supports "name" for ids and "address" for an IP address with a port.
func validate(settings any) []Problem {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(jsonName)
	name := regexp.MustCompile(`^[a-zA-Z0-9]([a-zA-Z0-9._-]*[a-zA-Z0-9])?$`)
	rules := map[string]validator.Func{
		"name": func(field validator.FieldLevel) bool {
			return len(field.Field().String()) <= maxNameLength && name.MatchString(field.Field().String())
		},
		"address": func(field validator.FieldLevel) bool {
			address, err := netip.ParseAddrPort(field.Field().String())
			return err == nil && address.Port() != 0
		},
	}
	for tag, rule := range rules {
		if err := check.RegisterValidation(tag, rule); err != nil {
			return []Problem{{Message: err.Error(), Remedy: "report this as a bug"}}
		}
	}
	return problemsOf(check.Struct(settings))
}

func problemsOf(err error) []Problem {
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return nil
	}
	problems := make([]Problem, 0, len(list))
	for _, field := range list {
		problems = append(problems, problemOf(field))
	}
	return problems
}

func problemOf(field validator.FieldError) Problem {
	_, key, _ := strings.Cut(field.Namespace(), ".")
	p := Problem{Key: key, Message: fmt.Sprintf("cannot be %v", formatValue(field.Value()))}
	switch field.Tag() {
	case "required":
		p.Message, p.Remedy = "is missing", "set it"
	case "name":
		p.Remedy = fmt.Sprintf("use at most %d letters, digits, '.', '_' and '-'", maxNameLength)
	case "address":
		p.Remedy = "write an IP address and a port, such as 10.0.0.4:7100"
	case "http_url":
		p.Remedy = "write a URL such as http://10.0.0.2:7000"
	case "gt":
		p.Remedy = "write more than " + field.Param()
	case "min":
		p.Remedy = "write at least " + field.Param()
	case "max":
		p.Remedy = "write at most " + field.Param()
	case "oneof":
		p.Remedy = "write one of " + strings.ReplaceAll(field.Param(), " ", ", ")
	case "unique":
		p.Message, p.Remedy = "lists a value twice", "remove one of the two"
	default:
		p.Remedy = "comply with the rule " + field.Tag()
	}
	return p
}

func formatValue(value any) string {
	text := fmt.Sprintf("%v", value)
	if text == "" || strings.ContainsAny(text, " ;") {
		return fmt.Sprintf("%q", text)
	}
	return text
}
