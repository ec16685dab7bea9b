package org.geraniumstand.operator.text;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.TimelineEvent;

/** Draws events as marks on one lane a process. */
final class TimelineChart {
    private static final int WIDTH = 1_400;
    private static final int LEFT = 200;
    private static final int RIGHT = 30;
    private static final int TOP = 30;
    private static final int LANE = 70;
    private static final int TICKS = 8;
    private static final int RADIUS = 5;
    /** Marks closer than this are drawn one above the other. */
    private static final int CROWDED = 11;
    /** Places one above the other in a lane. */
    private static final int LEVELS = 5;

    private static final DateTimeFormatter TICK =
            DateTimeFormatter.ofPattern("HH:mm:ss.S", Locale.ROOT).withZone(ZoneOffset.UTC);

    private final List<TimelineEvent> events;
    private final Map<ProcessId, Integer> lanes;
    private final Map<ProcessId, Integer> lastX = new HashMap<>();
    private final Map<ProcessId, Integer> lastLevel = new HashMap<>();
    private final long start;
    private final long span;
    private final StringBuilder svg = new StringBuilder();

    private TimelineChart(List<TimelineEvent> events) {
        this.events = events;
        this.lanes = TimelineHtml.lanes(events);
        this.start = events.isEmpty() ? 0 : events.get(0).time().epochMillis();
        long end = events.isEmpty() ? 1 : events.get(events.size() - 1).time().epochMillis();
        this.span = Math.max(1, end - start);
    }

    /** Returns the drawing. */
    static String svg(List<TimelineEvent> events) {
        TimelineChart chart = new TimelineChart(events);
        chart.draw();
        return chart.svg.toString();
    }

    private void draw() {
        int height = TOP + lanes.size() * LANE + RADIUS;
        svg.append("<svg viewBox=\"0 0 ")
                .append(WIDTH)
                .append(' ')
                .append(height)
                .append("\" width=\"")
                .append(WIDTH)
                .append("\" role=\"img\" aria-label=\"Events by process and time\">\n");
        for (int i = 0; i <= TICKS; i++) {
            tick(start + span * i / TICKS, height);
        }
        lanes.forEach(this::lane);
        for (int i = 0; i < events.size(); i++) {
            mark(i, events.get(i));
        }
        svg.append("</svg>\n");
    }

    private void tick(long epochMillis, int height) {
        int x = x(epochMillis);
        svg.append("<line class=\"tick\" x1=\"")
                .append(x)
                .append("\" y1=\"")
                .append(TOP)
                .append("\" x2=\"")
                .append(x)
                .append("\" y2=\"")
                .append(height)
                .append("\"/>");
        svg.append("<text x=\"")
                .append(x)
                .append("\" y=\"20\" text-anchor=\"middle\">")
                .append(TICK.format(Instant.ofEpochMilli(epochMillis)))
                .append("</text>\n");
    }

    private void lane(ProcessId process, int lane) {
        int y = middle(lane);
        svg.append("<line class=\"lane\" x1=\"")
                .append(LEFT)
                .append("\" y1=\"")
                .append(y)
                .append("\" x2=\"")
                .append(WIDTH - RIGHT)
                .append("\" y2=\"")
                .append(y)
                .append("\"/>");
        svg.append("<text class=\"lane-name\" x=\"10\" y=\"")
                .append(y + 4)
                .append("\">")
                .append(TimelineHtml.escape(process.value()))
                .append("</text>\n");
    }

    private void mark(int index, TimelineEvent event) {
        int x = x(event.time().epochMillis());
        int y = middle(lanes.get(event.process())) + offset(event.process(), x);
        svg.append("<circle class=\"mark ")
                .append(style(event.kind()))
                .append("\" data-kind=\"")
                .append(TimelineText.kind(event.kind()))
                .append("\" data-event=\"")
                .append(index)
                .append("\" cx=\"")
                .append(x)
                .append("\" cy=\"")
                .append(y)
                .append("\" r=\"")
                .append(RADIUS)
                .append("\"><title>")
                .append(TimelineHtml.escape(TimelineText.line(event)))
                .append("</title></circle>\n");
    }

    /** Returns how far a mark lies off the middle of its lane, so that crowded marks do not hide each other. */
    private int offset(ProcessId process, int x) {
        int before = lastX.getOrDefault(process, Integer.MIN_VALUE / 2);
        int level = x - before < CROWDED ? (lastLevel.getOrDefault(process, 0) + 1) % LEVELS : 0;
        lastX.put(process, x);
        lastLevel.put(process, level);
        int step = (level + 1) / 2 * CROWDED;
        return level % 2 == 0 ? step : -step;
    }

    private int x(long epochMillis) {
        return LEFT + (int) ((epochMillis - start) * (WIDTH - LEFT - RIGHT) / span);
    }

    private static int middle(int lane) {
        return TOP + lane * LANE + LANE / 2;
    }

    private static String style(EventKind kind) {
        return switch (kind) {
            case CONFIGURATION_IN_FORCE, CONFIGURATION_CHANGED, DATA_CENTRE_STATE -> "configuration";
            case MOVE_SHARE, MOVE_ENDED, VERSION_BAD -> "move";
            case RECLAIM_NOTICED, STREAM_MOVED, STREAM_HANDED_OVER -> "reclaim";
            case REQUEST_REFUSED, REQUEST_RETRIED -> "refusal";
            case PROCESS_STARTED, PROCESS_STOPPING, PROCESS_STOPPED, MEMBERS_CHANGED -> "process";
            case STORE_STATE -> "store";
            default -> "other";
        };
    }
}
