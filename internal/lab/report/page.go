package report

import "html/template"

// pageTemplate is the template of WriteHTML. Its data has the type page.
var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1"><title>Experiments</title>
<style>
:root{color-scheme:light}
body{font:15px/1.45 system-ui,sans-serif;margin:0 auto;max-width:1100px;padding:1rem;color:#1d2733;background:#fff}
h1{font-size:1.5rem;margin:.2rem 0}h2{font-size:1.15rem;margin:1.6rem 0 .4rem}h3{font-size:1rem;margin:1.2rem 0 .2rem}
.wide{overflow-x:auto}table{border-collapse:collapse;font-size:13px;min-width:100%}
th,td{padding:.25rem .5rem;border-bottom:1px solid #dde3ea;text-align:right;white-space:nowrap}th{background:#f2f5f8}
td.t,th.t{text-align:left}td.why{white-space:normal;min-width:11rem;text-align:left}
.kept{color:#1a6b37}.broken,.failed{color:#a3161c;font-weight:600}.void{color:#8a5a00;font-weight:600}
.big{display:flex;gap:1.2rem;flex-wrap:wrap;margin:.6rem 0}.big b{font-size:1.5rem;display:block}
svg{width:100%;height:auto;display:block}.plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(min(100%,480px),1fr));gap:.6rem}
.small{color:#5b6774;font-size:13px}
</style></head><body>
<h1>Experiments</h1>
<div class="big"><span class="kept"><b>{{.Kept}}</b>kept</span><span class="broken"><b>{{.Broken}}</b>rule broken</span><span class="failed"><b>{{.Failed}}</b>assertion failed</span><span class="void"><b>{{.Void}}</b>void</span></div>
{{range .Sources}}<div class="small">{{.}}</div>{{end}}{{range .Truncated}}<div class="void">{{.}}</div>{{end}}
<h2>Verdicts</h2><div class="wide"><table><tr><th class="t">storm</th><th class="t">engine</th><th>seed</th><th class="t">verdict</th><th class="t">why</th><th>service</th><th>worst 10 s</th><th>retries</th><th>refused</th><th>failed</th><th>recovers, s</th><th>p50 ms</th><th>p99 ms</th><th>cold load</th><th class="t">size</th><th class="t">set</th></tr>
{{range .Rows}}<tr><td class="t">{{.Storm}}</td><td class="t">{{.Engine}}</td><td>{{.Seed}}</td><td class="t {{.Verdict}}">{{.Verdict}}</td><td class="why">{{.Why}}</td><td>{{.Service}}</td><td>{{.Worst}}</td><td>{{.Retries}}</td><td>{{.Refused}}</td><td>{{.Failed}}</td><td>{{.Recover}}</td><td>{{.P50}}</td><td>{{.P99}}</td><td>{{.Cold}}</td><td class="t">{{.Size}}</td><td class="t">{{.Set}}</td></tr>
{{end}}</table></div>
{{if .Comparisons}}<h2>{{(index .Comparisons 0).B}} over {{(index .Comparisons 0).A}}</h2><div class="wide"><table><tr><th class="t">storm</th><th class="t">figure</th><th class="t">ratio, 95 % interval</th><th class="t">at 3 %</th></tr>
{{range .Comparisons}}<tr><td class="t">{{.Storm}}</td><td class="t">{{.Figure}}</td><td class="t">{{.Ratio}}</td><td class="t">{{.Verdict}}</td></tr>{{end}}</table></div>{{end}}
{{if .Curves}}<h2>Sweeps</h2><div class="plots">{{range .Curves}}<div><h3>{{.Storm}}: {{.Figure}} over {{.Key}}</h3>{{.SVG}}</div>{{end}}</div>{{end}}
<h2>Runs</h2>{{if .OmittedTimelines}}<div class="small">Plots are shown for the worst runs only; {{.OmittedTimelines}} more runs are in the table.</div>{{end}}
{{range .Timelines}}<h3>{{.Title}} <span class="{{.Verdict}}">{{.Verdict}}</span></h3>{{range .Notes}}<div class="small">{{.}}</div>{{end}}<div class="plots">{{range .SVGs}}<div>{{.}}</div>{{end}}</div>{{end}}
</body></html>
`))
