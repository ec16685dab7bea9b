package org.geraniumstand.entry;

import java.lang.reflect.Proxy;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;

/**
 * Handles the signal that says that the settings file has changed, which would end a Java process otherwise.
 *
 * <p>The platform's signals have no public interface, so the classes are found by name.
 */
final class HangUp {
    private static final Log LOG = Log.of(HangUp.class);
    private static final String SIGNAL = "sun.misc.Signal";
    private static final String HANDLER = "sun.misc.SignalHandler";

    private HangUp() {}

    /**
     * Runs a task at each such signal, on a thread of its own.
     *
     * @param task the task
     */
    @SuppressWarnings("ProxyNonConstantType") // There is no type to name at compile time.
    static void handle(Runnable task) {
        try {
            Class<?> signal = Class.forName(SIGNAL);
            Class<?> handler = Class.forName(HANDLER);
            Object told = Proxy.newProxyInstance(
                    HangUp.class.getClassLoader(), new Class<?>[] {handler}, (_p, method, _a) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    });
            Object name = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, name, told);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            LOG.warn("hang-up-not-handled", Field.of("reason", e));
        }
    }
}
