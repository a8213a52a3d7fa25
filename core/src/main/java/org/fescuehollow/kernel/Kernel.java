package org.fescuehollow.kernel;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Starts services in order, looks them up by name, and stops them in reverse order.
 *
 * <pre>{@code
 * Kernel kernel = Kernel.of(settings, front);
 * kernel.start();
 * kernel.find("settings", SettingsService.class);
 * }</pre>
 *
 * <p>Invariant: a service can be looked up only between its start and its stop. Start and stop must
 * be called from one thread; lookups are safe from any thread.
 */
public final class Kernel {
    private static final Logger LOG = System.getLogger(Kernel.class.getName());

    private final List<Service> mServices;
    private final Map<String, Service> mRunningServices = new ConcurrentHashMap<>();
    private final Deque<Service> mStartOrder = new ArrayDeque<>();

    private Kernel(List<Service> services) {
        mServices = List.copyOf(services);
    }

    /**
     * Creates a kernel.
     *
     * @param services the services in their order of start
     * @return the kernel, not yet started
     */
    public static Kernel of(Service... services) {
        return new Kernel(List.of(services));
    }

    /**
     * Creates a kernel.
     *
     * @param services the services in their order of start
     * @return the kernel, not yet started
     */
    public static Kernel of(List<Service> services) {
        return new Kernel(services);
    }

    /**
     * Starts all services. If one fails, stops those already started and rethrows its exception.
     */
    public void start() {
        for (Service s : mServices) {
            try {
                startService(s);
            } catch (RuntimeException e) {
                stop();
                throw e;
            }
        }
    }

    private void startService(Service s) {
        if (mRunningServices.containsKey(s.name())) {
            throw new IllegalStateException(
                    "expected unique service names, got " + s.name() + " twice");
        }
        s.start(this);
        mRunningServices.put(s.name(), s);
        mStartOrder.push(s);
    }

    /** Stops all started services in reverse order, even if one of them fails to stop. */
    public void stop() {
        while (!mStartOrder.isEmpty()) {
            Service s = mStartOrder.pop();
            mRunningServices.remove(s.name());
            try {
                s.stop();
            } catch (RuntimeException e) {
                LOG.log(Level.WARNING, "service " + s.name() + " failed to stop", e);
            }
        }
    }

    /**
     * Returns a running service.
     *
     * @param <T> the service's type
     * @param name its name
     * @param type its class
     * @return the service
     * @throws IllegalStateException if no running service has the name and type
     */
    public <T> T find(String name, Class<T> type) {
        Service s = mRunningServices.get(name);
        if (!type.isInstance(s)) {
            throw new IllegalStateException(
                    "expected service " + name + " as " + type.getSimpleName() + ", got " + s);
        }
        return type.cast(s);
    }

    /**
     * Returns each running service's dump under its name.
     *
     * @return the dumps, sorted by service name
     */
    public SortedMap<String, Object> dump() {
        SortedMap<String, Object> dumps = new TreeMap<>();
        mRunningServices.values().forEach(s -> dumps.put(s.name(), s.dump()));
        return dumps;
    }
}
