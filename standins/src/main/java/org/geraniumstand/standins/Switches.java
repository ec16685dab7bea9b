package org.geraniumstand.standins;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.geraniumstand.model.timeline.Label;
import org.geraniumstand.support.json.Json;

/**
 * Faults and settings of a stand-in that can be changed while it runs.
 *
 * <p>A switch that counts is worth the number of next cases that it concerns; a negative number concerns all. Over HTTP,
 * {@code PUT /control?silent=1&slow-millis=20} sets switches and {@code GET /control} shows them.
 *
 * @param <E> names of the switches
 */
public final class Switches<E extends Enum<E>> {
    private static final int BAD_REQUEST = 400;

    private final Class<E> type;
    private final Map<E, String> values;
    private final Runnable onChange;

    private Switches(Class<E> type, Runnable onChange) {
        this.type = type;
        this.values = new EnumMap<>(type);
        this.onChange = onChange;
    }

    /**
     * Returns switches that are all off.
     *
     * @param type names of the switches
     * @param onChange called after each change
     * @param <E> names of the switches
     */
    public static <E extends Enum<E>> Switches<E> of(Class<E> type, Runnable onChange) {
        return new Switches<>(type, onChange);
    }

    /**
     * Sets a switch to a number.
     *
     * @param name the switch
     * @param value its new value, zero for off
     */
    public void set(E name, long value) {
        set(name, Long.toString(value));
    }

    /**
     * Sets a switch to a text.
     *
     * @param name the switch
     * @param value its new value, empty for off
     */
    public void set(E name, String value) {
        synchronized (values) {
            values.put(name, value);
        }
        onChange.run();
    }

    /** Sets all switches to off. */
    public void clear() {
        synchronized (values) {
            values.clear();
        }
        onChange.run();
    }

    /**
     * Returns the text of a switch.
     *
     * @param name the switch
     */
    public String text(E name) {
        synchronized (values) {
            return values.getOrDefault(name, "");
        }
    }

    /**
     * Returns the number of a switch, zero when it is off.
     *
     * @param name the switch
     */
    public long number(E name) {
        String text = text(name);
        return text.isEmpty() ? 0 : Long.parseLong(text);
    }

    /**
     * Tells whether a switch is on.
     *
     * @param name the switch
     */
    public boolean on(E name) {
        return number(name) != 0;
    }

    /**
     * Counts one case against a switch and tells whether the switch concerns it.
     *
     * @param name the switch
     */
    public boolean take(E name) {
        synchronized (values) {
            long left = number(name);
            if (left > 0) {
                values.put(name, Long.toString(left - 1));
            }
            return left != 0;
        }
    }

    /** Waits as many milliseconds as a switch says. */
    void pause(E name) throws InterruptedException {
        long millis = number(name);
        if (millis > 0) {
            Thread.sleep(millis);
        }
    }

    /** Answers a call of the control path. */
    void control(HttpServerExchange exchange) {
        if (exchange.getRequestMethod().equals(new HttpString("PUT")) && !apply(exchange)) {
            exchange.setStatusCode(BAD_REQUEST);
        }
        exchange.getResponseSender().send(Json.write(shown()));
    }

    private boolean apply(HttpServerExchange exchange) {
        Map<E, String> wanted = new EnumMap<>(type);
        for (Map.Entry<String, Deque<String>> parameter :
                exchange.getQueryParameters().entrySet()) {
            E name = find(parameter.getKey());
            if (name == null) {
                return false;
            }
            wanted.put(name, parameter.getValue().getLast());
        }
        wanted.forEach(this::set);
        return true;
    }

    private E find(String text) {
        for (E name : type.getEnumConstants()) {
            if (Label.of(name).equals(text)) {
                return name;
            }
        }
        return null;
    }

    private Map<String, String> shown() {
        Map<String, String> shown = new TreeMap<>();
        for (E name : type.getEnumConstants()) {
            shown.put(Label.of(name), text(name));
        }
        return shown;
    }
}
