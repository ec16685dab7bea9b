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

/** Draws an SVG chart of events, with one horizontal lane per process and one mark per event. */
final class TimelineChart {
    private static final int WIDTH = 1_400;
    private static final int LEFT_MARGIN = 200;
    private static final int RIGHT_MARGIN = 30;
    private static final int TOP_MARGIN = 30;
    private static final int LANE_HEIGHT = 70;
    private static final int TICK_COUNT = 8;
    private static final int MARK_RADIUS = 5;
    /** Marks with a horizontal distance below this are stacked. */
    private static final int MIN_MARK_DISTANCE = 11;
    /** Number of vertical positions of stacked marks in a lane. */
    private static final int STACK_LEVELS = 5;

    private static final DateTimeFormatter TICK_FORMAT =
            DateTimeFormatter.ofPattern("HH:mm:ss.S", Locale.ROOT).withZone(ZoneOffset.UTC);

    private final List<TimelineEvent> events;
    private final Map<ProcessId, Integer> lanes;
    private final Map<ProcessId, Integer> lastX = new HashMap<>();
    private final Map<ProcessId, Integer> lastLevel = new HashMap<>();
    private final long startMillis;
    private final long spanMillis;
    private final StringBuilder svg = new StringBuilder();

    private TimelineChart(List<TimelineEvent> events) {
        this.events = events;
        this.lanes = TimelineHtml.lanes(events);
        this.startMillis = events.isEmpty() ? 0 : events.get(0).time().epochMillis();
        long endMillis =
                events.isEmpty() ? 1 : events.get(events.size() - 1).time().epochMillis();
        this.spanMillis = Math.max(1, endMillis - startMillis);
    }

    /** Returns the chart as an SVG element. */
    static String svg(List<TimelineEvent> events) {
        TimelineChart chart = new TimelineChart(events);
        chart.draw();
        return chart.svg.toString();
    }

    private void draw() {
        int height = TOP_MARGIN + lanes.size() * LANE_HEIGHT + MARK_RADIUS;
        svg.append("<svg viewBox=\"0 0 ")
                .append(WIDTH)
                .append(' ')
                .append(height)
                .append("\" width=\"")
                .append(WIDTH)
                .append("\" role=\"img\" aria-label=\"Events by process and time\">\n");
        for (int i = 0; i <= TICK_COUNT; i++) {
            drawTick(startMillis + spanMillis * i / TICK_COUNT, height);
        }
        lanes.forEach(this::drawLane);
        for (int i = 0; i < events.size(); i++) {
            drawMark(i, events.get(i));
        }
        svg.append("</svg>\n");
    }

    private void drawTick(long epochMillis, int height) {
        int x = xOf(epochMillis);
        svg.append("<line class=\"tick\" x1=\"")
                .append(x)
                .append("\" y1=\"")
                .append(TOP_MARGIN)
                .append("\" x2=\"")
                .append(x)
                .append("\" y2=\"")
                .append(height)
                .append("\"/>");
        svg.append("<text x=\"")
                .append(x)
                .append("\" y=\"20\" text-anchor=\"middle\">")
                .append(TICK_FORMAT.format(Instant.ofEpochMilli(epochMillis)))
                .append("</text>\n");
    }

    private void drawLane(ProcessId process, int lane) {
        int y = laneCentre(lane);
        svg.append("<line class=\"lane\" x1=\"")
                .append(LEFT_MARGIN)
                .append("\" y1=\"")
                .append(y)
                .append("\" x2=\"")
                .append(WIDTH - RIGHT_MARGIN)
                .append("\" y2=\"")
                .append(y)
                .append("\"/>");
        svg.append("<text class=\"lane-name\" x=\"10\" y=\"")
                .append(y + 4)
                .append("\">")
                .append(TimelineHtml.escape(process.value()))
                .append("</text>\n");
    }

    private void drawMark(int index, TimelineEvent event) {
        int x = xOf(event.time().epochMillis());
        int y = laneCentre(lanes.get(event.process())) + verticalOffset(event.process(), x);
        svg.append("<circle class=\"mark ")
                .append(cssClass(event.kind()))
                .append("\" data-kind=\"")
                .append(TimelineText.kind(event.kind()))
                .append("\" data-event=\"")
                .append(index)
                .append("\" cx=\"")
                .append(x)
                .append("\" cy=\"")
                .append(y)
                .append("\" r=\"")
                .append(MARK_RADIUS)
                .append("\"><title>")
                .append(TimelineHtml.escape(TimelineText.line(event)))
                .append("</title></circle>\n");
    }

    /** Returns the vertical offset of a mark from the centre of its lane, so that close marks do not overlap. */
    private int verticalOffset(ProcessId process, int x) {
        int previousX = lastX.getOrDefault(process, Integer.MIN_VALUE / 2);
        int level = x - previousX < MIN_MARK_DISTANCE ? (lastLevel.getOrDefault(process, 0) + 1) % STACK_LEVELS : 0;
        lastX.put(process, x);
        lastLevel.put(process, level);
        int step = (level + 1) / 2 * MIN_MARK_DISTANCE;
        return level % 2 == 0 ? step : -step;
    }

    private int xOf(long epochMillis) {
        return LEFT_MARGIN + (int) ((epochMillis - startMillis) * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN) / spanMillis);
    }

    private static int laneCentre(int lane) {
        return TOP_MARGIN + lane * LANE_HEIGHT + LANE_HEIGHT / 2;
    }

    private static String cssClass(EventKind kind) {
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
