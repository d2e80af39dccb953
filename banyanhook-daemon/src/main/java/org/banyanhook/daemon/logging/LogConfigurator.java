package org.banyanhook.daemon.logging;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.api.LayoutComponentBuilder;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;
import org.banyanhook.daemon.settings.LogFormat;
import org.banyanhook.daemon.settings.LogSettings;

/**
 * Configures the format of log lines on standard output.
 *
 * <p>Callers of the loggers must not pass keys or session tokens. As a further safeguard, the text that follows the
 * word Bearer in a message is replaced.
 */
public final class LogConfigurator {

    private static final String APPENDER_NAME = "console";
    private static final String TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSX}{UTC} %-5level [%t] %logger{1}:"
            + " %replace{%m}{(?i)(bearer\\s+)\\S+}{$1(hidden)}%n%throwable";
    private static final String JSON_TEMPLATE = "classpath:org/banyanhook/daemon/logging/log-line.json";

    private LogConfigurator() {}

    /**
     * Applies settings to all loggers of this process.
     *
     * @param settings the format and the lowest level that is written; libraries always write only warnings and errors
     */
    public static void apply(LogSettings settings) {
        ConfigurationBuilder<BuiltConfiguration> builder = ConfigurationBuilderFactory.newConfigurationBuilder();
        builder.setStatusLevel(Level.ERROR);
        AppenderComponentBuilder appender = builder.newAppender(APPENDER_NAME, "Console")
                .addAttribute("target", ConsoleAppender.Target.SYSTEM_OUT)
                .addAttribute("follow", true)
                .add(layout(builder, settings.format()));
        builder.add(appender);
        builder.add(builder.newRootLogger(Level.WARN).add(builder.newAppenderRef(APPENDER_NAME)));
        builder.add(builder.newLogger("org.banyanhook", Level.toLevel(settings.level())));
        Configurator.reconfigure(builder.build());
    }

    private static LayoutComponentBuilder layout(ConfigurationBuilder<BuiltConfiguration> builder, LogFormat format) {
        if (format == LogFormat.JSON) {
            return builder.newLayout("JsonTemplateLayout").addAttribute("eventTemplateUri", JSON_TEMPLATE);
        }
        return builder.newLayout("PatternLayout").addAttribute("pattern", TEXT_PATTERN);
    }
}
