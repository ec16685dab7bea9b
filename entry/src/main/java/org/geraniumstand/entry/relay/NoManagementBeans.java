package org.geraniumstand.entry.relay;

import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Disables the JMX platform MBean server.
 *
 * <p>XNIO registers its workers as MBeans, which no tool reads and which takes a third of the start time; if there is no MBean
 * server, it skips the registration. {@code deploy/system.toml} names this class. The name of a missing class would have the
 * same effect, but takes longer.
 */
public final class NoManagementBeans extends MBeanServerBuilder {
    /** Creates the builder; the JDK calls this constructor by reflection. */
    public NoManagementBeans() {}

    @Override
    public MBeanServerDelegate newMBeanServerDelegate() {
        return null;
    }
}
