/** Starts daemon threads, and sleeps without checked exceptions. */
final class Threads {
    private Threads() {}

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(stopped);
        }
    }

    /** Runs a task after a delay, on a thread of its own. */
    static void later(long millis, Runnable task) {
        start("later", () -> {
            sleep(millis);
            task.run();
        });
    }
}
