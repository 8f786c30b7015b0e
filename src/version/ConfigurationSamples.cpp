#include "version/ConfigurationSamples.h"

#include "version/ConfigurationJson.h"

namespace tarragontray {

std::string
SampleTemplateText()
{
  return R"({
  "name": "sample",
  "version": 3,
  "parameters": [
    {"name": "wait", "type": "duration", "min": 50, "max": 5000, "default": 800},
    {"name": "tries", "type": "count", "min": 1, "max": 4, "default": 2},
    {"name": "guests", "type": "share", "min": 0.1, "max": 0.9, "default": 0.25},
    {"name": "seats", "type": "text", "default": "/seats"},
    {"name": "repeatable", "type": "boolean", "default": true},
    {"name": "buyers", "type": "text"}
  ],
  "classes": [
    {"name": "fans", "priority": 0, "weight": 3},
    {"name": "internal", "priority": 1, "weight": {"parameter": "tries"}}
  ],
  "services": [
    {"name": "box-office", "queue_limit": 32, "foreign_share": 0.5},
    {"name": "catalogue", "queue_limit": {"parameter": "tries"},
     "foreign_share": {"parameter": "guests"}}
  ],
  "routes": [
    {"name": "seat-map", "service": "box-office", "method": "GET",
     "path_prefix": {"parameter": "seats"}, "class": {"parameter": "buyers"},
     "idempotent": {"parameter": "repeatable"},
     "timeout_ms": {"parameter": "wait"},
     "max_attempts": {"parameter": "tries"}},
    {"name": "purchase", "service": "box-office", "method": "POST",
     "path_prefix": "/purchases", "class": "fans", "idempotent": false,
     "timeout_ms": 3000, "max_attempts": 3},
    {"name": "lookup", "service": "catalogue", "method": "GET",
     "path_prefix": "/catalogue", "class": "internal", "idempotent": true,
     "timeout_ms": 400, "max_attempts": 3},
    {"name": "booths", "service": "booth-desk", "owner": "vanua-voice",
     "method": "GET", "path_prefix": "/booths", "class": "internal",
     "idempotent": true, "timeout_ms": 900, "max_attempts": 2}
  ],
  "moves": {"min_ramp_ms": 10000, "min_hold_ms": 5000,
            "max_duration_ms": 3600000}
})";
}

std::string
SampleParametersText()
{
  return R"({
  "account": "mesqel-gate",
  "template": "sample",
  "template_version": 3,
  "values": {"wait": 600, "tries": 3, "guests": 0.4, "seats": "/seat-map",
             "repeatable": true, "buyers": "fans"},
  "services": [
    {"name": "box-office", "live_versions": ["v1", "v2"], "last_plan": 4,
     "move": {"plan": 4, "from": "v1", "to": "v2",
              "start": "2026-12-04T18:00:00Z",
              "deadline": "2026-12-04T18:10:00Z", "hold_ms": 60000}},
    {"name": "catalogue", "live_versions": ["v7"], "last_plan": 0}
  ]
})";
}

Template
SampleTemplate()
{
  return DecodeTemplate(SampleTemplateText()).value();
}

AccountParameters
SampleParameters()
{
  return DecodeParameters(SampleParametersText()).value();
}

} // namespace tarragontray
