package org.geraniumstand.operator.text;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.TimelineEvent;

/** Formats events as one self-contained HTML page. */
public final class TimelineHtml {
    private static final String HEAD = """
            <!DOCTYPE html>
            <html lang="en">
            <head>
            <meta charset="utf-8">
            <title>geraniumstand: timeline</title>
            <style>
            body { font: 14px system-ui, sans-serif; margin: 1.5em; color: #222; }
            svg { border: 1px solid #ccc; background: #fff; max-width: 100%; height: auto; }
            svg text { font: 12px system-ui, sans-serif; fill: #333; }
            .lane { stroke: #ddd; }
            .tick { stroke: #eee; }
            .configuration { fill: #1f5fbf; }
            .move { fill: #2a8a3e; }
            .reclaim { fill: #d07a00; }
            .refusal { fill: #c22; }
            .process { fill: #111; }
            .store { fill: #7a3fa0; }
            .other { fill: #888; }
            .mark { cursor: pointer; }
            .hidden { display: none; }
            label { margin-right: 1em; white-space: nowrap; }
            table { border-collapse: collapse; margin-top: 1em; width: 100%; }
            td, th { text-align: left; padding: 2px 8px; border-bottom: 1px solid #eee; vertical-align: top; }
            tr.chosen { background: #ffef9f; }
            #details { min-height: 1.5em; margin: .5em 0; font-family: monospace; }
            </style>
            </head>
            <body>
            <h1>Timeline of all entry processes</h1>
            """;

    private static final String SCRIPT = """
            <script>
            for (const box of document.querySelectorAll('input[data-filter]')) {
              box.addEventListener('change', () => {
                for (const item of document.querySelectorAll('[data-kind="' + box.dataset.filter + '"]')) {
                  item.classList.toggle('hidden', !box.checked);
                }
              });
            }
            const details = document.getElementById('details');
            for (const mark of document.querySelectorAll('.mark')) {
              mark.addEventListener('mouseenter', () => {
                details.textContent = mark.querySelector('title').textContent;
              });
              mark.addEventListener('click', () => {
                for (const row of document.querySelectorAll('tr.chosen')) {
                  row.classList.remove('chosen');
                }
                const row = document.getElementById('event-' + mark.dataset.event);
                row.classList.add('chosen');
                row.scrollIntoView({ block: 'center' });
              });
            }
            </script>
            </body>
            </html>
            """;

    private TimelineHtml() {}

    /**
     * Returns the HTML page.
     *
     * @param events the events in order of time
     */
    public static String page(List<TimelineEvent> events) {
        return HEAD + filters(events) + "<div id=\"details\"></div>\n" + TimelineChart.svg(events) + table(events)
                + SCRIPT;
    }

    /** Escapes a text for use in HTML content and attributes. */
    static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    /** Assigns a lane index to each process, in order of the process names. */
    static Map<ProcessId, Integer> lanes(List<TimelineEvent> events) {
        Map<ProcessId, Integer> lanes = new LinkedHashMap<>();
        events.stream()
                .map(TimelineEvent::process)
                .distinct()
                .sorted(Comparator.comparing(ProcessId::value))
                .forEach(process -> lanes.put(process, lanes.size()));
        return lanes;
    }

    private static String filters(List<TimelineEvent> events) {
        Map<EventKind, Long> counts = events.stream()
                .collect(Collectors.groupingBy(TimelineEvent::kind, LinkedHashMap::new, Collectors.counting()));
        return counts.entrySet().stream()
                .map(entry -> filter(TimelineText.kind(entry.getKey()), entry.getValue()))
                .collect(Collectors.joining("", "<p>", "</p>\n"));
    }

    private static String filter(String kind, long count) {
        return "<label><input type=\"checkbox\" checked data-filter=\"" + kind + "\"> " + kind + " (" + count
                + ")</label>\n";
    }

    private static String table(List<TimelineEvent> events) {
        StringBuilder rows = new StringBuilder(
                "<table>\n<tr><th>time (UTC)</th><th>process</th><th>kind</th><th>details</th><th>reason</th></tr>\n");
        for (int i = 0; i < events.size(); i++) {
            rows.append(row(i, events.get(i)));
        }
        return rows.append("</table>\n").toString();
    }

    private static String row(int index, TimelineEvent event) {
        String kind = TimelineText.kind(event.kind());
        return "<tr id=\"event-" + index + "\" data-kind=\"" + kind + "\"><td>" + TimelineText.time(event)
                + "</td><td>" + escape(event.process().value()) + "</td><td>" + kind + "</td><td>"
                + escape(TimelineText.fields(event)) + "</td><td>" + escape(event.reason()) + "</td></tr>\n";
    }
}
