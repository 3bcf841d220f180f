//! Job queues and jobs for simulated sites.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::runs::intended_state::JobQueueSettings;
use almondhead_lib::runs::job_spec::JobSpec;
use almondhead_lib::runs::job_spec::StepSpec;
use almondhead_lib::runs::resources::Resources;

/// Returns the settings of a queue whose jobs are served by the service `work`.
pub fn run_queue(name: &str, priority: u32, max_attempts: u32) -> JobQueueSettings {
    JobQueueSettings {
        name: Arc::from(name),
        host: Arc::from("site.example"),
        path_prefix: Arc::from(format!("/{name}/")),
        service: Arc::from("work"),
        priority,
        max_attempts,
        stretch_percent: 160,
        target_duration: Duration::from_millis(60),
        timeout: Some(Duration::from_millis(1_500)),
    }
}

/// Returns a job of one step.
///
/// `run_ms` is the declared run time in milliseconds, which is also the actual one unless the job
/// is submitted with another.
pub fn run_job(tasks: u32, cpu_millicores: u32, run_ms: u64) -> JobSpec {
    JobSpec {
        payload: Arc::from("spec"),
        steps: vec![StepSpec {
            tasks,
            resources: Resources {
                cpu_millicores,
                memory_mb: 64,
                accelerators: 0,
            },
            declared_run_time: Duration::from_millis(run_ms),
            ..StepSpec::default()
        }],
        durable: false,
        recurring: false,
    }
}
