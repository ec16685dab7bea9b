package org.geraniumstand.entry;

import java.lang.reflect.Proxy;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;

/**
 * Handles SIGHUP, which reports a changed settings file and would otherwise terminate the Java process.
 *
 * <p>The JDK has no public API for signals, so the classes are loaded by reflection.
 */
final class HangupSignal {
    private static final Log LOG = Log.of(HangupSignal.class);
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private HangupSignal() {}

    /**
     * Runs a task on a separate thread each time the process receives SIGHUP.
     *
     * @param task task to run
     */
    @SuppressWarnings("ProxyNonConstantType") // The interface is loaded by name and has no type at compile time.
    static void handle(Runnable task) {
        try {
            Class<?> signal = Class.forName(SIGNAL_CLASS);
            Class<?> handler = Class.forName(HANDLER_CLASS);
            Object handlerProxy = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, (_p, method, _a) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    });
            Object name = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, name, handlerProxy);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            LOG.warn("hang-up-not-handled", Field.of("reason", e));
        }
    }
}
