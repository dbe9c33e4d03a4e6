/** Service key of the job service. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {JobService} from './job-service.js';

/** Registered by the jobs feature. */
export const jobServiceKey = new ServiceKey<JobService>('job-service');
