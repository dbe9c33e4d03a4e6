/** The container's name for the job service. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {JobService} from './job-service.js';

/** Provided by the jobs feature. */
export const jobServiceKey = new ServiceKey<JobService>('job-service');
