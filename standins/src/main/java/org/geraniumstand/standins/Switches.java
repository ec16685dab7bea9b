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
 * Holds the faults and settings of a stand-in, which can be changed at run time.
 *
 * <p>A switch that counts applies to as many of the next occurrences as its value; a negative value applies to all. Over
 * HTTP, {@code PUT /control?silent=1&slow-millis=20} sets switches and {@code GET /control} returns them.
 *
 * @param <E> the enum that names the switches
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
     * Creates switches that are all off.
     *
     * @param type the enum that names the switches
     * @param onChange called after each change
     * @param <E> the enum that names the switches
     */
    public static <E extends Enum<E>> Switches<E> of(Class<E> type, Runnable onChange) {
        return new Switches<>(type, onChange);
    }

    /**
     * Sets a switch to a number.
     *
     * @param name the switch
     * @param value the new value; zero turns the switch off
     */
    public void set(E name, long value) {
        set(name, Long.toString(value));
    }

    /**
     * Sets a switch to a string.
     *
     * @param name the switch
     * @param value the new value; an empty string turns the switch off
     */
    public void set(E name, String value) {
        synchronized (values) {
            values.put(name, value);
        }
        onChange.run();
    }

    /** Turns all switches off. */
    public void clear() {
        synchronized (values) {
            values.clear();
        }
        onChange.run();
    }

    /**
     * Returns the value of a switch as a string, empty if the switch is off.
     *
     * @param name the switch
     */
    public String text(E name) {
        synchronized (values) {
            return values.getOrDefault(name, "");
        }
    }

    /**
     * Returns the value of a switch as a number, zero if the switch is off.
     *
     * @param name the switch
     */
    public long number(E name) {
        String text = text(name);
        return text.isEmpty() ? 0 : Long.parseLong(text);
    }

    /**
     * Returns whether a switch is on.
     *
     * @param name the switch
     */
    public boolean isOn(E name) {
        return number(name) != 0;
    }

    /**
     * Returns whether a switch applies to the current occurrence, and decrements a positive count.
     *
     * @param name the switch
     */
    public boolean applies(E name) {
        synchronized (values) {
            long remaining = number(name);
            if (remaining > 0) {
                values.put(name, Long.toString(remaining - 1));
            }
            return remaining != 0;
        }
    }

    /** Sleeps for the number of milliseconds that a switch is set to. */
    void delay(E name) throws InterruptedException {
        long millis = number(name);
        if (millis > 0) {
            Thread.sleep(millis);
        }
    }

    /** Handles a call to the control path. */
    void handleControl(HttpServerExchange exchange) {
        if (exchange.getRequestMethod().equals(new HttpString("PUT")) && !applyParameters(exchange)) {
            exchange.setStatusCode(BAD_REQUEST);
        }
        exchange.getResponseSender().send(Json.write(valuesByLabel()));
    }

    private boolean applyParameters(HttpServerExchange exchange) {
        Map<E, String> updates = new EnumMap<>(type);
        for (Map.Entry<String, Deque<String>> parameter :
                exchange.getQueryParameters().entrySet()) {
            E name = findSwitch(parameter.getKey());
            if (name == null) {
                return false;
            }
            updates.put(name, parameter.getValue().getLast());
        }
        updates.forEach(this::set);
        return true;
    }

    private E findSwitch(String text) {
        for (E name : type.getEnumConstants()) {
            if (Label.of(name).equals(text)) {
                return name;
            }
        }
        return null;
    }

    private Map<String, String> valuesByLabel() {
        Map<String, String> snapshot = new TreeMap<>();
        for (E name : type.getEnumConstants()) {
            snapshot.put(Label.of(name), text(name));
        }
        return snapshot;
    }
}
